import type { Server } from 'node:http';
import { readStoredPolicy, changePolicy } from '../../src/policy/store.js';
import { diffPolicies } from '../../src/policy/change.js';
import type { PolicyDocument } from '../../src/policy/document.js';
import { HttpKeyValueClient } from '../../src/key-value/http-key-value.js';
import { AgentRole } from '../../src/server/agent-role.js';
import { createDaemonContext, Daemon } from '../../src/server/daemon.js';
import type { DaemonPorts } from '../../src/server/daemon.js';
import { EntryRole } from '../../src/server/entry-role.js';
import { listen } from '../../src/server/listen.js';
import { parseSettings } from '../../src/server/settings.js';
import type { Settings } from '../../src/server/settings-schema.js';
import { createEngineServer } from '../../src/standin/engine-server.js';
import { createPlatformServer } from '../../src/standin/platform-server.js';
import { createServiceServer } from '../../src/standin/service-server.js';

export const LOOPBACK = '127.0.0.1';

/** Runs a fake platform, backends, agents and entries in one process, on free ports. */
export class LocalSystem {
  private readonly servers: Server[] = [];
  private readonly daemons: Daemon[] = [];
  readonly keyValue: HttpKeyValueClient;

  private constructor(readonly platformUrl: string) {
    this.keyValue = new HttpKeyValueClient(platformUrl, 2_000);
  }

  static async start(policy: PolicyDocument): Promise<LocalSystem> {
    const platform = createPlatformServer();
    const port = (await listen(platform, LOOPBACK, 0)).unwrap();
    const system = new LocalSystem(`http://${LOOPBACK}:${port}`);
    system.servers.push(platform);
    await system.applyPolicy(policy, 'first');
    return system;
  }

  async applyPolicy(policy: PolicyDocument, changeId: string): Promise<void> {
    const stored = (await readStoredPolicy(this.keyValue)).unwrap();
    const change = {
      changeId,
      author: 'test',
      atMs: 0,
      summary: 'test',
      edits: diffPolicies(stored.document, policy),
      baseDocument: stored.document,
    };
    (await changePolicy(this.keyValue, change)).unwrap();
  }

  async startEngine(name: string, stepMs: number): Promise<{ agent: DaemonPorts; port: number }> {
    const server = createEngineServer({
      prefillTokensPerMs: 50,
      stepMs,
      capacity: 4,
      prefixCacheTokens: 10_000,
      loadLagMs: 100,
      tokensPerChunk: 8,
    });
    return this.startAgent(name, 'engine', server);
  }

  startService(name: string): Promise<{ agent: DaemonPorts; port: number }> {
    return this.startAgent(name, 'service', createServiceServer(1));
  }

  async startEntry(name: string, extraSettings = ''): Promise<DaemonPorts> {
    const settings = this.settings(name, 'entry', extraSettings);
    const context = createDaemonContext(settings);
    return this.startDaemon(new Daemon(context, new EntryRole(context)));
  }

  settings(name: string, role: string, extraSettings: string): Settings {
    return parseSettings(`[process]
role = ${role}
name = ${name}
region = r
zone = z
place = hall-a
[platform]
keyValueUrl = ${this.platformUrl}
liveListUrl = ${this.platformUrl}
liveListPollMs = 50
[log]
level = error
decisions = off
${extraSettings}`).unwrap();
  }

  async stop(): Promise<void> {
    for (const daemon of this.daemons) {
      daemon.close();
    }
    for (const server of this.servers) {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    }
  }

  private async startAgent(
    name: string,
    kind: string,
    server: Server,
  ): Promise<{ agent: DaemonPorts; port: number }> {
    const port = (await listen(server, LOOPBACK, 0)).unwrap();
    this.servers.push(server);
    const extraSettings = `[agent]\nbackendUrl = http://${LOOPBACK}:${port}\nbackendKind = ${kind}\ncapacity = 4\n`;
    const context = createDaemonContext(this.settings(name, 'agent', extraSettings));
    const agent = await this.startDaemon(new Daemon(context, new AgentRole(context)));
    return { agent, port };
  }

  private async startDaemon(daemon: Daemon): Promise<DaemonPorts> {
    this.daemons.push(daemon);
    return (await daemon.start()).unwrap();
  }
}

/** Polls until `isDone` returns true; a wait that never succeeds ends at the test's timeout. */
export async function waitUntil(isDone: () => Promise<boolean>): Promise<void> {
  while (!(await isDone())) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}
