import test from 'ava';
import { headerValue } from '../src/http/header-value.js';
import { isResumption } from '../src/gateway/admission/caller-protocol.js';
import { GatewayStreams } from '../src/gateway/gateway-streams.js';
import type { ResumptionDecision } from '../src/gateway/gateway-streams.js';
import { VersionHistory } from '../src/gateway/streams/version-history.js';
import { resumableForMs } from '../src/gateway/streams/stream-lifetime.js';
import type { PeerMessage } from '../src/cluster/peer-messages.js';
import type { DecisionLog } from '../src/telemetry/decision-log.js';
import type { GatewayMetrics } from '../src/gateway/metrics/gateway-metrics.js';
import type { AcceptedRequest } from '../src/gateway/attempt/accepted-request.js';
import type { ConnectedAgent } from '../src/gateway/links/slot-agent-links.js';
import { softwareVersionOf } from '../src/streams/software-version.js';
import type { SoftwareVersion } from '../src/streams/software-version.js';
import type { HoldStreamOrigin, StreamOriginQuery } from '../src/streams/stream-origin.js';
import { StreamOriginTable } from '../src/streams/stream-origin-table.js';
import { streamKeyOf } from '../src/streams/stream-key.js';
import type { StreamKey } from '../src/streams/stream-key.js';
import { backendOf, GatewayHarness, routeOf } from './support/gateway-harness.js';

const RESUMABLE = routeOf({ kind: 'stream', isResumable: true, timeoutMs: 2_000, maxPauseMs: 300 });
const V1 = softwareVersionOf({ id: 'a', version: 'v1' });
const V2 = softwareVersionOf({ id: 'a', version: 'v2' });
const HEAD = { status: 200, rawHeaders: [], headers: {} };
const EVENT_1 = 'id: 1\ndata: a\n\n';

function keyOf(requestId: string, tenant = 'shop', path = '/a/x'): StreamKey {
  return streamKeyOf({ tenant, host: 'a.example', path, requestId });
}

/** A gateway's streams with peers that record what they are sent. */
function streamsOf(
  world: GatewayHarness,
  peers: ReadonlyArray<{ address: string; zone: string }>,
  agents: () => readonly ConnectedAgent[] = () => [],
) {
  const sentToAgents: Array<[string, HoldStreamOrigin | StreamOriginQuery]> = [];
  const sent: Array<[string, PeerMessage]> = [];
  const logged: object[] = [];
  const streams = new GatewayStreams({
    zone: 'z0',
    directory: world.directory,
    clock: world.clock,
    log: {
      write: (_event: string, _priority: string, fields: object) => void logged.push(fields),
    } as unknown as DecisionLog,
    metrics: { record: () => undefined } as unknown as GatewayMetrics,
    peers: () => ({
      peerGeneration: 1,
      openPeers: peers,
      size: peers.length + 1,
      isKnowledgeOld: false,
      isPeerHeard: () => true,
      sendTo: (address, message) => {
        sent.push([address, message]);
        return true;
      },
    }),
    agents: () => ({
      generation: agents().length,
      connectedAgents: [...agents()],
      sendToHost: (host, message) => {
        sentToAgents.push([host, message]);
        return true;
      },
    }),
  });
  return { streams, sent, sentToAgents, logged };
}

function resumptionOf(world: GatewayHarness, changes: Partial<AcceptedRequest> = {}) {
  return world.accept({
    route: RESUMABLE,
    lastEventId: headerValue('1'),
    resumedRequestId: 'first',
    streamKey: keyOf('first'),
    ...changes,
  });
}

/** Observes the versions of the world's backends for `forMs`. */
async function observe(world: GatewayHarness, streams: GatewayStreams, forMs: number) {
  for (const untilMs = world.clock.now() + forMs; world.clock.now() < untilMs;) {
    streams.observeVersions();
    await world.clock.runUntil(world.clock.now() + 100);
  }
  streams.observeVersions();
}

test('the origin of a stream is sent to gateways of two other zones before the first event', (t) => {
  const world = new GatewayHarness(backendOf('a', { address: '10.0.0.1:9' }));
  const { streams, sent } = streamsOf(world, [
    { address: 'p0', zone: 'z0' },
    { address: 'p1', zone: 'z1' },
    { address: 'p2', zone: 'z2' },
    { address: 'p3', zone: 'z2' },
  ]);
  const begun: string[] = [];
  const { reply } = world.request({ route: RESUMABLE, streamKey: keyOf('first') });
  reply.write = () => {
    begun.push(...world.begunStreams.map(([requestId]) => requestId));
    return true;
  };
  const { handlers } = world.attempts[0]!;
  handlers.onHead(HEAD);
  t.deepEqual(world.begunStreams, []);
  handlers.onData(Buffer.from(EVENT_1));
  t.deepEqual(begun, ['q']);
  streams.recordBegin(resumptionOf(world), world.attempts[0]!.backend, V1);
  const zones = sent.map(([address]) => (address === 'p1' ? 'z1' : 'z2')).sort();
  t.deepEqual(zones, ['z1', 'z2']);
  t.false(sent.some(([address]) => address === 'p0'));
});

/** An agent beside a backend of service `s`. */
function agentOf(host: string, version: SoftwareVersion, isLeaving = false): ConnectedAgent {
  return { host, zone: 'z1', service: 's', version, isLeaving };
}

test('an agent beside another backend of its version that stays holds the origin of a stream', (t) => {
  const world = new GatewayHarness(backendOf('a', { address: '10.0.0.1:9' }));
  const agents = [
    agentOf('10.0.0.1', V1),
    agentOf('leaving', V1, true),
    agentOf('staying', V1),
    ...Array.from({ length: 20 }, (_none, index) => agentOf(`other-${index}`, V2)),
  ];
  const { streams, sentToAgents } = streamsOf(
    world,
    [
      { address: 'p1', zone: 'z1' },
      { address: 'p2', zone: 'z2' },
    ],
    () => agents,
  );
  const [backend] = world.directory.list();
  streams.recordBegin(resumptionOf(world), backend!.backend, V1);
  t.deepEqual(
    sentToAgents.map(([host]) => host),
    ['staying'],
  );
  sentToAgents.length = 0;
  const unknown = { resumedRequestId: 'unknown', streamKey: keyOf('unknown') };
  streams.resume(resumptionOf(world, unknown), () => undefined);
  const asked = sentToAgents.map(([host]) => host);
  t.true(['10.0.0.1', 'leaving', 'staying'].every((host) => asked.includes(host)));
  t.true(asked.length <= 16);
});

test('the origin of a stream goes to another agent once the one that holds it leaves', (t) => {
  const world = new GatewayHarness(backendOf('a', { address: '10.0.0.1:9' }));
  let agents = [agentOf('10.0.0.1', V1), agentOf('x', V1), agentOf('y', V1), agentOf('z', V2)];
  const peers = ['z1', 'z2'].map((zone) => ({ address: `p-${zone}`, zone }));
  const { streams, sentToAgents } = streamsOf(world, peers, () => agents);
  streams.observeBackends();
  const [backend] = world.directory.list();
  streams.recordBegin(resumptionOf(world, { resumableForMs: 5_000 }), backend!.backend, V1);
  const [first] = sentToAgents[0]!;
  const other = first === 'x' ? 'y' : 'x';
  sentToAgents.length = 0;
  streams.observeBackends();
  t.deepEqual(sentToAgents, []);
  agents = agents.map((agent) => ({ ...agent, isLeaving: agent.host === first }));
  agents.push(agentOf('w', V2));
  // A look-up reads the agents too.
  streams.resume(resumptionOf(world, { streamKey: keyOf('unknown') }), () => undefined);
  sentToAgents.length = 0;
  streams.observeBackends();
  t.deepEqual(
    sentToAgents.map(([host, message]) => [host, message.kind]),
    [[other, 'stream-began']],
  );
});

test('a request that names a stream of another tenant or path finds none', (t) => {
  t.not(keyOf('first', 'other'), keyOf('first'));
  t.not(keyOf('first', 'shop', '/a/y'), keyOf('first'));
  t.is(keyOf('first', 'shop', '/a/x?page=2'), keyOf('first'));
});

test('a caller that names a request but has received no event begins anew', (t) => {
  t.false(isResumption({ lastEventId: undefined }));
  t.false(isResumption({ lastEventId: headerValue('') }));
  t.true(isResumption({ lastEventId: headerValue('0') }));
});

test('a malformed name of a stream is refused without asking other processes', (t) => {
  const world = new GatewayHarness(backendOf('a'));
  const { streams, sent } = streamsOf(world, [{ address: 'p1', zone: 'z1' }]);
  for (const resumedRequestId of ['', 'a b', 'a,b', 'a\u00e9', 'x'.repeat(129)]) {
    const decisions: ResumptionDecision[] = [];
    streams.resume(resumptionOf(world, { resumedRequestId }), (one) => decisions.push(one));
    t.deepEqual(decisions, [{ kind: 'refuse', reason: 'malformed-resumption' }]);
  }
  t.is(sent.length, 0);
});

test('a stream of unknown origin is refused while the service has several versions', async (t) => {
  const world = new GatewayHarness(backendOf('a'), backendOf('b', { version: 'v2' }));
  const { streams, sent, logged } = streamsOf(world, [{ address: 'p1', zone: 'z1' }]);
  await observe(world, streams, 6_000);
  const decisions: ResumptionDecision[] = [];
  streams.resume(resumptionOf(world), (one) => decisions.push(one));
  t.is(sent[0]?.[1].kind, 'stream-ask');
  await world.clock.runUntil(world.clock.now() + 400);
  t.deepEqual(decisions, [{ kind: 'refuse', reason: 'stream-unknown' }]);
  t.like(logged.at(-1), { outcome: 'unknown', resumes: 'first', answered: 0 });
});

/** A caller that does not name the stream that it resumes. */
const UNNAMED: Partial<AcceptedRequest> = { resumedRequestId: undefined, streamKey: undefined };

for (const { name, changes, longestAgeMs } of [
  { name: 'a stream that its caller does not name', changes: UNNAMED, longestAgeMs: 4_000 },
  { name: 'a named stream of unknown origin', changes: {}, longestAgeMs: 300_000 },
]) {
  test(`${name} continues if its service had one version for as long as it can exist`, async (t) => {
    const world = new GatewayHarness(backendOf('a'));
    const { streams } = streamsOf(world, []);
    await observe(world, streams, longestAgeMs - 100);
    const early: ResumptionDecision[] = [];
    streams.resume(resumptionOf(world, changes), (one) => early.push(one));
    t.is(early[0]?.kind, 'refuse');
    await observe(world, streams, 200);
    const later: ResumptionDecision[] = [];
    streams.resume(resumptionOf(world, changes), (one) => later.push(one));
    t.like(later[0], { kind: 'continue', request: { service: 's', resumedVersion: V1 } });
  });
}

test('a version that another gateway has seen lately keeps a stream of unknown origin from continuing', async (t) => {
  const world = new GatewayHarness(backendOf('a'));
  const { streams, sent } = streamsOf(world, [{ address: 'p1', zone: 'z1' }]);
  await observe(world, streams, 302_000);
  for (const [otherVersionAgeMs, kind] of [
    [1_000, 'refuse'],
    [299_000, 'refuse'],
    [301_000, 'continue'],
  ] as const) {
    const decisions: ResumptionDecision[] = [];
    sent.length = 0;
    streams.resume(resumptionOf(world), (one) => decisions.push(one));
    const query = sent.map(([, message]) => message).find((one) => one.kind === 'stream-ask')!;
    const soleVersion = { version: V1, coveredMs: 302_000, otherVersionAgeMs };
    streams.receiveAnswer({ kind: 'stream-answer', id: query.id, soleVersion });
    await world.clock.runUntil(world.clock.now() + 400);
    t.is(decisions[0]?.kind, kind);
  }
});

test('a stream is refused if its route no longer sends requests to the service that began it', (t) => {
  const world = new GatewayHarness(backendOf('a'));
  const { streams } = streamsOf(world, []);
  const version = V1;
  const report = { key: keyOf('first'), service: 'gone', version, ageMs: 0, expiresInMs: 9_000 };
  streams.hold(report);
  const decisions: ResumptionDecision[] = [];
  streams.resume(resumptionOf(world), (one) => decisions.push(one));
  t.deepEqual(decisions, [{ kind: 'refuse', reason: 'stream-unavailable' }]);
});

test('requests that name streams that never existed reach all gateways ten times a second at most', async (t) => {
  const world = new GatewayHarness(backendOf('a'), backendOf('b', { version: 'v2' }));
  const peers = Array.from({ length: 12 }, (_none, index) => ({
    address: `p${index}`,
    zone: `z${index % 3}`,
  }));
  const { streams, sent } = streamsOf(world, peers);
  await observe(world, streams, 100);
  let refused = 0;
  for (let index = 0; index < 200; index += 1) {
    const named = { resumedRequestId: `r${index}`, streamKey: keyOf(`r${index}`) };
    streams.resume(resumptionOf(world, named), () => (refused += 1));
  }
  await world.clock.runUntil(world.clock.now() + 400);
  t.is(refused, 200);
  t.true(sent.length <= 200 * 4 + 14 * 12, `${sent.length}`);
});

test('origins are dropped when their caller can no longer return, and the oldest beyond the limit', (t) => {
  const table = new StreamOriginTable(3);
  const hold = (id: string, expiresInMs: number) =>
    table.hold({ key: keyOf(id), service: 's', version: V1, ageMs: 0, expiresInMs }, 0);
  hold('a', 100);
  hold('b', 1_000);
  t.is(table.find(keyOf('a'), 99)?.version, V1);
  t.is(table.find(keyOf('a'), 100), undefined);
  table.evictExpired(100);
  t.is(table.size, 1);
  ['c', 'd', 'e'].forEach((id) => hold(id, 1_000));
  t.deepEqual([table.size, table.find(keyOf('b'), 0)], [3, undefined]);
  hold('stated far too long', 1e9);
  t.is(table.find(keyOf('stated far too long'), 300_000), undefined);
});

test('no claim is made about versions of a time that is no longer remembered', (t) => {
  const history = new VersionHistory();
  const existing = [{ service: 's', version: V1 }];
  history.observe(existing, 0);
  history.observe(existing, 3_600_000);
  t.is(history.soleVersion('s', 3_600_000)?.coveredMs, 600_000);
});

test('an origin is held as long as its caller waits, and at most four timeouts of its route', (t) => {
  t.is(resumableForMs(RESUMABLE, 3_000), 4_000);
  t.is(resumableForMs(RESUMABLE, undefined), 5_000);
  t.is(resumableForMs(RESUMABLE, 3_600_000), 9_000);
});

test('a resumed stream that waits for a slot is due within the longest pause, not late', async (t) => {
  const world = new GatewayHarness(backendOf('a', { slots: 1 }));
  await world.clock.runUntil(5_000);
  world.request({ route: RESUMABLE });
  const late = { firstAttemptAtMs: 0, deadlineAtMs: 9_000 };
  const { reply: other } = world.request({ route: RESUMABLE, ...late });
  const { reply } = world.request({
    route: RESUMABLE,
    requestId: headerValue('resumed'),
    lastEventId: headerValue('1'),
    resumedVersion: V1,
    ...late,
  });
  world.answer(0, 200, EVENT_1);
  t.is(world.attempts[1]?.headers.at(-1), '1');
  world.answer(1, 200, 'id: 2\ndata: b\n\n');
  t.true(reply.isEnded);
  t.false(other.isEnded);
});

test('a version whose last backend was just removed from the list keeps a stream of unknown origin from continuing', async (t) => {
  const world = new GatewayHarness(backendOf('a'), backendOf('b', { version: 'v2' }));
  const { streams } = streamsOf(world, []);
  await observe(world, streams, 6_000);
  world.dispatcher.updateBackend('b', undefined, world.clock.now());
  // Longer than a stream can exist: the backend may still serve for a while.
  await observe(world, streams, 5_000);
  const early: ResumptionDecision[] = [];
  streams.resume(resumptionOf(world, UNNAMED), (one) => early.push(one));
  t.is(early[0]?.kind, 'refuse');
  await observe(world, streams, 27_000);
  const soonAfterItsEnd: ResumptionDecision[] = [];
  streams.resume(resumptionOf(world, UNNAMED), (one) => soonAfterItsEnd.push(one));
  t.is(soonAfterItsEnd[0]?.kind, 'refuse');
  await observe(world, streams, 3_000);
  const later: ResumptionDecision[] = [];
  streams.resume(resumptionOf(world, UNNAMED), (one) => later.push(one));
  t.is(later[0]?.kind, 'continue');
});

test('a stream of unknown origin is refused at once while too many queries are in progress', async (t) => {
  const world = new GatewayHarness(backendOf('a'), backendOf('b', { version: 'v2' }));
  const { streams, sent } = streamsOf(world, [{ address: 'p1', zone: 'z1' }]);
  await observe(world, streams, 100);
  let refused = 0;
  for (let index = 0; index < 300; index += 1) {
    const named = { resumedRequestId: `r${index}`, streamKey: keyOf(`r${index}`) };
    streams.resume(resumptionOf(world, named), () => (refused += 1));
  }
  t.deepEqual([refused, sent.length], [44, 256]);
});
