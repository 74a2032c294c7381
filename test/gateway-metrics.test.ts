import { once } from 'node:events';
import { get } from 'node:http';
import test from 'ava';
import { GatewayMetrics } from '../src/gateway/metrics/gateway-metrics.js';
import { countBackends } from '../src/gateway/metrics/gateway-snapshot.js';
import type { GatewaySnapshot } from '../src/gateway/metrics/gateway-snapshot.js';
import { KnownBackend } from '../src/gateway/dispatch/known-backend.js';
import { backendOf, GatewayHarness } from './support/gateway-harness.js';

const HOST = '127.0.4.9';
const PORT = 28_900;

const SNAPSHOT: GatewaySnapshot = {
  storeAgeMs: 1_500,
  storeEpoch: 3,
  retainedRecords: 2,
  evacuatedZones: 1,
  configurationAgeMs: undefined,
  backends: [{ service: 's', state: 'ejected', count: 2 }],
  conditions: [{ backend: 'w-1', condition: 'limited', value: 2.4 }],
  repeatsLeft: new Map([['s', 7]]),
  quotaUse: new Map([['tenant', 1_200]]),
  quotaLevels: new Map([['tenant', 300]]),
  waiting: new Map([['s', 3]]),
  loopDelayMs: 20,
  crashingRequests: { refused: 1, suspected: 2 },
  suspectedPaths: 4,
  streamOrigins: 5,
};

async function readMetrics(): Promise<string> {
  const [response] = (await once(get(`http://${HOST}:${PORT}/metrics`), 'response')) as [
    AsyncIterable<Buffer>,
  ];
  let text = '';
  for await (const bytes of response) {
    text += bytes.toString();
  }
  return text;
}

test('metrics include values recorded before the library was loaded, and gauges from the current snapshot', async (t) => {
  const metrics = new GatewayMetrics();
  metrics.serve(HOST, PORT);
  metrics.record(({ storeCalls }) => storeCalls.inc({ call: 'watch', result: 'failed' }));
  await metrics.load(() => SNAPSHOT);
  const text = await readMetrics();
  const lines = [
    'weirvale_store_calls_total{call="watch",result="failed"} 1',
    'weirvale_store_age_seconds 1.5',
    'weirvale_store_epoch 3',
    'weirvale_store_records_kept 2',
    'weirvale_configuration_age_seconds Nan',
    'weirvale_backends{service="s",state="ejected"} 2',
    'weirvale_backend_conditions{backend="w-1",condition="limited"} 2.4',
    'weirvale_evacuated_zones 1',
    'weirvale_repeats_left{service="s"} 7',
    'weirvale_quota_used_tokens{tenant="tenant"} 1200',
    'weirvale_quota_pool_tokens{tenant="tenant"} 300',
    'weirvale_waiting_requests{service="s"} 3',
    'weirvale_loop_delay_seconds 0.02',
    'weirvale_suspect_paths 4',
  ];
  for (const line of lines) {
    t.true(text.includes(line), line);
  }
  t.regex(text, /weirvale_open_descriptors [1-9]/);
  t.regex(text, /weirvale_resident_bytes [1-9]/);
  metrics.close();
});

test('sends and body bytes are counted by the distance of the backend', async (t) => {
  const world = new GatewayHarness();
  world.regions.set('z', 'north').set('far', 'south');
  world.dispatcher.updateBackend('far', backendOf('far', { zone: 'far' }), 0);
  world.request({ body: Buffer.alloc(100) });
  world.answer(0, 200, 'answer');
  const { MetricInstruments } = await import('../src/gateway/metrics/metric-instruments.js');
  const instruments = new MetricInstruments(() => SNAPSHOT);
  const [request, end] = world.endedRequests[0]!;
  instruments.recordEnd(request, end);
  instruments.connections.inc({ reason: 'first' });
  const text = await instruments.registry.metrics();
  t.true(text.includes('weirvale_sends_by_distance_total{distance="other-region"} 1'));
  t.true(text.includes('weirvale_body_bytes_by_distance_total{distance="other-region"} 106'));
  t.true(text.includes('weirvale_backend_connections_total{reason="first"} 1'));
});

test('backends are counted by service and observed state', (t) => {
  const ejected = new KnownBackend(backendOf('a'), 0);
  while (!ejected.health.noteOutcome('failed', 10)) {
    // Reports failures until the backend is ejected.
  }
  const gone = new KnownBackend(backendOf('b'), 0);
  gone.unlistedAtMs = 5;
  const draining = new KnownBackend(backendOf('c', { state: 'draining' }), 0);
  const ready = [new KnownBackend(backendOf('d'), 0), new KnownBackend(backendOf('e'), 0)];
  const counts = countBackends([ejected, gone, draining, ...ready], 20);
  t.deepEqual(
    counts.map(({ state, count }) => [state, count]),
    [
      ['ejected', 1],
      ['gone', 1],
      ['draining', 1],
      ['ready', 2],
    ],
  );
});
