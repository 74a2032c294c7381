/**
 * Whatever fails, no caller may hold events of two software versions, with a gap or twice, and most
 * of the streams that callers resume must go on.
 */
import test from 'ava';
import type { BackendSender } from '../src/gateway/attempt/attempt.js';
import type { GatewayStreams } from '../src/gateway/gateway-streams.js';
import type { AgentHolders } from '../src/gateway/streams/agent-holders.js';
import type { OriginHolderRanking } from '../src/gateway/streams/origin-holders.js';
import type { VersionHistory } from '../src/gateway/streams/version-history.js';
import { softwareVersionOf } from '../src/streams/software-version.js';
import type { StreamKey } from '../src/streams/stream-key.js';
import { runStreamFaults } from './support/stream-faults.js';
import type { StreamRunOptions } from './support/stream-faults.js';
import type { GatewayProcess } from './support/stream-gateway.js';

const LENGTH_MS = 15_000;
const BACKENDS = 8;

function run(options: Partial<StreamRunOptions> & Pick<StreamRunOptions, 'seed' | 'gateways'>) {
  return runStreamFaults({ backends: BACKENDS, lengthMs: LENGTH_MS, ...options });
}

for (const [gateways, seeds] of [
  [3, [1, 2, 3, 4, 5, 6, 7, 8, 56, 437]],
  [12, [1, 2, 3, 4]],
  [27, [1]],
] as const) {
  test(`no stream of ${gateways} gateways holds events of two versions during consecutive and overlapping faults`, async (t) => {
    for (const seed of seeds) {
      const { mixed, gaps } = await run({ seed, gateways });
      t.deepEqual([mixed, gaps], [[], []], `seed ${seed}`);
    }
  });
}

const RESTARTS: Pick<StreamRunOptions, 'faults' | 'identification' | 'faultGapMs'> = {
  identification: { maxMs: 120, unansweredShare: 0.1 },
  faults: [
    'restartUnannounced',
    'restartUnannounced',
    'restartUnannounced',
    'crashBackend',
    'killGateway',
    'pauseGateway',
    'cutGateway',
    'stopStore',
  ],
  faultGapMs: [50, 500],
};

for (const [gateways, seeds] of [
  [3, [1, 2, 3, 4, 5, 6]],
  [12, [1, 2]],
] as const) {
  test(`no stream of ${gateways} gateways holds events of two versions while backends restart unannounced`, async (t) => {
    for (const seed of seeds) {
      const { mixed, gaps } = await run({ seed, gateways, ...RESTARTS });
      t.deepEqual([mixed, gaps], [[], []], `seed ${seed}`);
    }
  });
}

/** Members of a gateway process that identify the processes of streams. */
interface ProcessInternals {
  readonly requests: {
    readonly ports: {
      mustIdentifyProcess(): boolean;
      readonly sender: BackendSender;
    };
  };
}

test('the check detects the fault: the announced version is taken for that of every process', async (t) => {
  const injectFault = (process: GatewayProcess) => {
    const { ports } = (process as unknown as ProcessInternals).requests;
    ports.mustIdentifyProcess = () => false;
  };
  const { mixed } = await run({ seed: 1, gateways: 3, ...RESTARTS, injectFault });
  t.not(mixed.length, 0);
});

test('the check detects the fault: events of a resumed stream do not wait for their process', async (t) => {
  const injectFault = (process: GatewayProcess) => {
    const { ports } = (process as unknown as ProcessInternals).requests;
    const { sender } = ports;
    const send = sender.send.bind(sender);
    sender.send = (attempt, handlers) => {
      const { bornAtMs } = attempt.backend;
      const handle = send(attempt, handlers);
      if (attempt.needsProcess === true && bornAtMs !== undefined) {
        handlers.onProcess?.({ bornAtMs, source: 'agent' });
      }
      return handle;
    };
  };
  const { mixed } = await run({ seed: 1, gateways: 3, ...RESTARTS, injectFault });
  t.not(mixed.length, 0);
});

interface ShareCase {
  readonly name: string;
  readonly options: Pick<StreamRunOptions, 'faults' | 'faultGapMs' | 'cutShare' | 'identification'>;
  /** Least share of the resumed streams that go on. */
  readonly share: number;
}

const ZONE_KILLS: ShareCase['options'] = {
  faults: ['killZone'],
  faultGapMs: [1_000, 2_000],
  cutShare: 0,
};

const SHARE_CASES: readonly ShareCase[] = [
  { name: 'without faults', options: { faults: [] }, share: 0.99 },
  { name: 'while the store is away', options: { faults: ['stopStore'] }, share: 0.99 },
  {
    name: 'while the store is away and processes are identified',
    options: { faults: ['stopStore'], identification: { maxMs: 10, unansweredShare: 0 } },
    share: 0.99,
  },
  { name: 'while gateways are paused', options: { faults: ['pauseGateway'] }, share: 0.9 },
  {
    name: 'while gateways are cut off from each other',
    options: { faults: ['cutGateway'] },
    share: 0.9,
  },
  {
    name: 'while one of twelve gateways is killed at a time',
    options: { faults: ['killGateway'], faultGapMs: [300, 900], cutShare: 0 },
    share: 0.9,
  },
  { name: 'while all gateways of a zone are killed at a time', options: ZONE_KILLS, share: 0.9 },
  {
    name: 'while all gateways are killed at a time',
    options: { faults: ['killAllGateways'], faultGapMs: [2_000, 3_000], cutShare: 0 },
    share: 0.9,
  },
];

/** Runs three seeds and returns the resumed streams, those that went on and what callers hold. */
async function runShareCase(
  options: ShareCase['options'],
  injectFault?: (process: GatewayProcess) => void,
) {
  const runs = [];
  for (const seed of [1, 2, 3]) {
    runs.push(await run({ seed, gateways: 12, ...options, ...(injectFault && { injectFault }) }));
  }
  return {
    resumed: runs.reduce((sum, { resumed }) => sum + resumed, 0),
    continued: runs.reduce((sum, { continued }) => sum + continued, 0),
    violations: runs.flatMap(({ mixed, gaps }) => [...mixed, ...gaps]),
  };
}

for (const { name, options, share } of SHARE_CASES) {
  test(`at least ${share} of the streams that callers resume go on ${name}`, async (t) => {
    const { resumed, continued, violations } = await runShareCase(options);
    t.true(resumed > 50, `${resumed}`);
    t.true(continued >= resumed * share, `${continued} of ${resumed}`);
    t.deepEqual(violations, []);
  });
}

/** Members of a gateway process that a fault variant modifies, some of them private. */
interface Internals {
  readonly dispatcher: { submit(request: object, nowMs: number): void };
  readonly directory: GatewayProcess['directory'];
  readonly streams: Pick<GatewayStreams, 'resume' | 'recordBegin'> & {
    readonly history: Pick<VersionHistory, 'soleVersion'>;
    readonly resumptions: {
      resolve(
        stream: { readonly services: readonly string[] },
        onResult: (result: object) => void,
      ): void;
    };
  };
}

/** Private members of a gateway process that select the holders of origins. */
interface HolderInternals {
  readonly streams: {
    readonly replication: {
      readonly gatewayRanking: Pick<OriginHolderRanking, 'rank'>;
      readonly agentHolders: Pick<AgentHolders, 'holdersOf' | 'askedFor'>;
    };
  };
}

interface FaultVariant {
  readonly name: string;
  /** A seed in which the fault is detected. */
  readonly seed: number;
  inject(internals: Internals): void;
}

const FAULT_VARIANTS: readonly FaultVariant[] = [
  {
    name: 'the version is ignored within a response',
    seed: 2,
    inject: ({ dispatcher }) => {
      const submit = dispatcher.submit.bind(dispatcher);
      dispatcher.submit = (request, nowMs) => {
        const isRetry = (request as { excluded: ReadonlySet<string> }).excluded.size > 0;
        const anyVersion = Object.create(request, { requiredVersion: { value: undefined } });
        submit(isRetry ? (anyVersion as object) : request, nowMs);
      };
    },
  },
  {
    name: 'the version is ignored when a caller resumes',
    seed: 2,
    inject: ({ streams }) => {
      streams.resume = (request, onDecision) => onDecision({ kind: 'continue', request });
    },
  },
  {
    name: 'the service is drawn again when a caller resumes',
    seed: 8,
    inject: ({ streams }) => {
      const resume = streams.resume.bind(streams);
      streams.resume = (request, onDecision) =>
        resume(request, (decision) => {
          const { service } = request;
          onDecision(
            decision.kind === 'continue'
              ? { kind: 'continue', request: { ...decision.request, service } }
              : decision,
          );
        });
    },
  },
  {
    name: 'the version is that of the backend that has the address now',
    seed: 8,
    inject: ({ streams, directory }) => {
      const recordBegin = streams.recordBegin.bind(streams);
      streams.recordBegin = (request, backend, version) => {
        ADDRESSES.set(request.streamKey!, backend.address);
        recordBegin(request, backend, version);
      };
      const resume = streams.resume.bind(streams);
      streams.resume = (request, onDecision) =>
        resume(request, (decision) => {
          const address = ADDRESSES.get(request.streamKey!);
          const owner = directory
            .list()
            .find(({ backend, isReady }) => isReady && backend.address === address);
          const resumedVersion = owner && softwareVersionOf(owner.backend);
          onDecision(
            decision.kind === 'continue' && resumedVersion !== undefined
              ? { kind: 'continue', request: { ...decision.request, resumedVersion } }
              : decision,
          );
        });
    },
  },
  {
    name: 'an unknown stream continues at the newest version',
    seed: 8,
    inject: ({ streams }) => {
      const { resumptions, history } = streams;
      const resolve = resumptions.resolve.bind(resumptions);
      resumptions.resolve = (stream, onResult) =>
        resolve(stream, (result) => {
          const service = stream.services[0]!;
          const newest = history.soleVersion(service, 0);
          const isUnknown = (result as { kind: string }).kind === 'unknown';
          const origin = newest && { service, version: newest.version };
          onResult(
            isUnknown && origin ? { kind: 'known', origin, source: 'sole-version' } : result,
          );
        });
    },
  },
];

/** Addresses of the backends that began streams, for all processes. */
const ADDRESSES = new Map<StreamKey, string>();

for (const { name, seed, inject } of FAULT_VARIANTS) {
  test(`the check detects the fault: ${name}`, async (t) => {
    const injectFault = (process: GatewayProcess) => inject(process as unknown as Internals);
    const { mixed } = await run({ seed, gateways: 3, injectFault });
    t.not(mixed.length, 0);
  });
}

test('the check detects the fault: origins are held only in the zone of their gateway', async (t) => {
  const { resumed, continued } = await runShareCase(ZONE_KILLS, (process) => {
    const { gatewayRanking, agentHolders } = (process as unknown as HolderInternals).streams
      .replication;
    const rank = gatewayRanking.rank.bind(gatewayRanking);
    const { zone } = process.machine;
    gatewayRanking.rank = (key) => rank(key).filter((holder) => holder.zone === zone);
    agentHolders.holdersOf = () => [];
    agentHolders.askedFor = () => [];
  });
  t.true(continued < resumed * 0.9, `${continued} of ${resumed}`);
});
