import test from 'ava';
import { headerValue } from '../src/http/header-value.js';
import { DEFAULT_CALLER_LIMITS } from '../src/routing/configuration.js';
import type { Route } from '../src/routing/configuration.js';
import { pickService, RoutingTable } from '../src/routing/routing-table.js';

function route(pathPrefix: string, host = 'a.example'): Route {
  return {
    name: `${host}${pathPrefix}`,
    host,
    pathPrefix,
    kind: 'safe',
    isResumable: false,
    timeoutMs: 1_000,
    targetLatencyMs: 100,
    maxPauseMs: 0,
    maxAttempts: 2,
    priority: 0,
    allowsAnonymous: false,
    allowedRegions: undefined,
    services: [{ service: 's', weight: 1 }],
  };
}

function tableOf(routes: Route[]): RoutingTable {
  const tenant = {
    name: headerValue('t'),
    apiKeys: ['k'],
    priority: undefined,
    quota: undefined,
    allowedRegions: undefined,
  };
  return new RoutingTable({
    version: 1,
    routes,
    services: [],
    tenants: [tenant],
    limits: DEFAULT_CALLER_LIMITS,
  });
}

test('the longest matching path prefix wins, whatever the order of routes', (t) => {
  const table = tableOf([route('/a/'), route('/a/b/'), route('/')]);
  t.is(table.findRoute('a.example', '/a/b/c')?.pathPrefix, '/a/b/');
  t.is(table.findRoute('a.example', '/a/bc')?.pathPrefix, '/a/');
  t.is(table.findRoute('a.example', '/x')?.pathPrefix, '/');
});

test('a slash in the query string does not affect the route', (t) => {
  const table = tableOf([route('/a/'), route('/a/b/')]);
  t.is(table.findRoute('a.example', '/a/?next=/a/b/')?.pathPrefix, '/a/');
});

test('hosts are matched by name, ignoring case and port', (t) => {
  const table = tableOf([route('/a/')]);
  t.truthy(table.findRoute('A.Example:8080', '/a/'));
  t.is(table.findRoute('b.example', '/a/'), undefined);
});

test('a path that matches no prefix has no route', (t) => {
  t.is(tableOf([route('/a/')]).findRoute('a.example', '/b/'), undefined);
});

test('an API key identifies its tenant', (t) => {
  t.is(tableOf([]).findTenantByKey('k')?.name, headerValue('t'));
  t.is(tableOf([]).findTenantByKey('other'), undefined);
});

test('services are picked in proportion to their weights', (t) => {
  const services = [
    { service: 'a', weight: 90 },
    { service: 'b', weight: 10 },
  ];
  t.is(pickService(services, 0.89), 'a');
  t.is(pickService(services, 0.91), 'b');
  t.is(pickService([], 0.5), undefined);
});
