import test from 'ava';
import { ActiveConfiguration } from '../src/gateway/active-configuration.js';
import { DEFAULT_CALLER_LIMITS } from '../src/routing/configuration.js';
import type { RoutingConfiguration } from '../src/routing/configuration.js';
import { VirtualClock } from '../src/sim/virtual-clock.js';

function configurationOf(version: number): RoutingConfiguration {
  const services = [
    {
      name: 's',
      maxConnections: 1,
      isEngine: true,
      tokensPerEvent: 6,
      coldStartMs: 0,
      coldRequestsPerS: 0,
    },
  ];
  return { version, routes: [], services, tenants: [], limits: DEFAULT_CALLER_LIMITS };
}

test('an active configuration is not replaced by one of the same or an older version', async (t) => {
  const clock = new VirtualClock();
  const configuration = new ActiveConfiguration(clock);
  t.is(configuration.version, undefined);
  t.is(configuration.ageMs, undefined);
  t.false(configuration.isEngine('s'));
  t.true(configuration.install(configurationOf(7)));
  await clock.runUntil(50);
  t.false(configuration.install(configurationOf(7)));
  t.false(configuration.install(configurationOf(3)));
  t.is(configuration.version, 7);
  t.is(configuration.ageMs, 50);
  t.true(configuration.isEngine('s'));
  t.is(configuration.tokensPerEvent('s'), 6);
});
