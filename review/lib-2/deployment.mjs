// A small deployment: a store, gateways, workers of one plain service.
import { awaitReady, Fleet, freePort } from './fleet.mjs';
import { Store } from './store.mjs';
import { Worker } from './worker.mjs';

export const HOST = 'cpra.example';
export const KEY = 'key-1';

/** A configuration with one service and routes `/unsafe/` and `/safe/` to it. */
export function configuration({ version = 3, timeoutMs = 3000 } = {}) {
  const route = (name, kind, maxAttempts) => ({
    name: `r-${name}`,
    host: HOST,
    pathPrefix: `/${name}/`,
    kind,
    timeoutMs,
    targetLatencyMs: 600,
    priority: 1,
    service: 'desk',
    maxAttempts,
    allowAnonymous: false,
  });
  return {
    version,
    routes: [route('unsafe', 'unsafe', 1), route('safe', 'safe', 2)],
    services: [{ name: 'desk', healthPath: '/health', maxConnections: 100, protocol: 'h1' }],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
    tenants: [{ name: 'tenant-1', apiKeys: [KEY], priority: 1, unit: 'generate' }],
  };
}

export class Deployment {
  static async start({ gateways = 2, workers = 3, config = configuration(), answer, onRun }) {
    const self = new Deployment();
    self.store = new Store();
    const storePort = await freePort('127.0.9.1');
    await self.store.listen('127.0.9.1', storePort);
    self.config = config;
    self.store.put('op/config', config);
    self.workers = [];
    for (let index = 1; index <= workers; index += 1) {
      const ip = `127.0.2.${index}`;
      const { store } = self;
      const worker = new Worker({
        name: `i-desk${index}`,
        service: 'desk',
        zone: 'hall-a',
        store,
        onRun,
        answer,
      });
      await worker.listen(ip, await freePort(ip));
      worker.announce();
      self.workers.push(worker);
    }
    const specs = [];
    for (let index = 1; index <= gateways; index += 1) {
      const ip = `127.0.1.${index}`;
      const listen = {
        front: `${ip}:${await freePort(ip)}`,
        ready: `${ip}:${await freePort(ip)}`,
        control: `${ip}:${await freePort(ip)}`,
      };
      specs.push({ nodeName: `edge-${index}`, ip, zone: 'hall-a', listen });
    }
    const seeds = specs.slice(0, 3).map(({ listen }) => listen.control);
    self.fleet = new Fleet(`127.0.9.1:${storePort}`, seeds, [await freePort('127.0.1.1'), 0]);
    self.gateways = specs.map((fields) => ({
      ...fields,
      front: fields.listen.front,
      child: self.fleet.start('gateway', fields),
    }));
    self.isReady = true;
    for (const { listen } of specs) {
      self.isReady &&= await awaitReady(listen.ready);
    }
    return self;
  }

  async stop() {
    this.workers.forEach((worker) => worker.end());
    await this.fleet.stop();
    this.store.server.close();
    this.store.server.closeAllConnections();
  }
}
