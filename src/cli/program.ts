/** Defines the command-line tool: all commands and queries with their help. */
import { randomBytes } from 'node:crypto';
import { Command } from 'commander';
import { hashApiKey } from '../policy/api-key.js';
import {
  applyPolicyFile,
  setLabels,
  setSelector,
  unsetLabels,
  unsetSelector,
} from './commands/change-policy.js';
import type { GlobalOptions } from './context.js';
import { EXIT_CODE_HELP } from './exit-codes.js';
import {
  checkPolicyFile,
  diffPolicyFile,
  explainPolicy,
  showHistory,
  showPolicy,
} from './queries/show-policy.js';
import type { ExplainOptions } from './queries/show-policy.js';
import { checkSettings, showSettings, showSettingsReference } from './queries/show-settings.js';
import { runExperimentFile } from './queries/run-experiment.js';
import type { ExperimentArguments } from './queries/run-experiment.js';
import { replaySimulation, runSimulation, searchSimulations } from './queries/run-simulation.js';
import type { SimulationArguments } from './queries/run-simulation.js';
import { explainLogs } from './queries/explain-logs.js';
import { showStatus } from './queries/show-status.js';

const SALT_BYTES = 8;

/** Creates the command-line parser with all commands. */
export function createProgram(): Command {
  const program = new Command('weirvale')
    .description('Operates weirvale: policy, labels, selectors, settings, diagnostics')
    .option('--platform <url>', "base URL of the platform's key-value service")
    .option('--json', 'print queries as JSON')
    .addHelpText('after', EXIT_CODE_HELP);
  addSettings(program);
  addPolicy(program);
  addLabels(program);
  addSelectors(program);
  addExplain(program);
  addStatus(program);
  addLogs(program);
  addSimulation(program);
  addExperiments(program);
  return program;
}

function addSettings(program: Command): void {
  const settings = program.command('settings').description('settings files of daemons');
  settings
    .command('check <file>')
    .description('validate a settings file and report every error')
    .action((file: string) => checkSettings(file, program.opts<GlobalOptions>()));
  settings
    .command('show <file>')
    .description('show the effective values, including defaults')
    .action((file: string) => showSettings(file, program.opts<GlobalOptions>()));
  settings
    .command('reference')
    .description('print the reference of all settings in Markdown')
    .action(() => showSettingsReference());
}

function addLogs(program: Command): void {
  const logs = program.command('logs').description('log files of gateways');
  logs
    .command('explain <id> <files...>')
    .description('explain how a request was handled, and which state changes preceded it')
    .addHelpText('after', '\nExample:\n  weirvale logs explain 9c41d07be2a35f68 edge-*.log')
    .action((id: string, files: string[]) => explainLogs(id, files, program.opts<GlobalOptions>()));
}

function addPolicy(program: Command): void {
  const policy = program.command('policy').description('the active policy');
  policy
    .command('check <file>')
    .description('validate a policy file without contacting the platform')
    .action((file: string) => checkPolicyFile(file, program.opts<GlobalOptions>()));
  policy
    .command('diff <file>')
    .description('show what applying a file would change')
    .action((file: string) => diffPolicyFile(file, program.opts<GlobalOptions>()));
  policy
    .command('apply <file>')
    .description('apply a policy file as one change')
    .addHelpText(
      'after',
      '\nExample:\n  weirvale --platform http://10.0.0.1:4000 policy apply shop.ini',
    )
    .action((file: string) => applyPolicyFile(file, program.opts<GlobalOptions>()));
  policy
    .command('show')
    .description('show the active policy in the format that apply reads')
    .action(() => showPolicy(program.opts<GlobalOptions>()));
  policy
    .command('history')
    .description('show the most recent accepted changes')
    .action(() => showHistory(program.opts<GlobalOptions>()));
}

function addLabels(program: Command): void {
  const label = program.command('label').description('labels of engines, places, models, tenants');
  label
    .command('set <entry> <pairs...>')
    .description('set labels of a policy entry')
    .addHelpText('after', '\nExample:\n  weirvale label set engine.hall-a-1 drained=yes')
    .action((entry: string, pairs: string[]) =>
      setLabels(entry, pairs, program.opts<GlobalOptions>()),
    );
  label
    .command('unset <entry> <keys...>')
    .description('remove labels from a policy entry')
    .action((entry: string, keys: string[]) =>
      unsetLabels(entry, keys, program.opts<GlobalOptions>()),
    );
}

function addSelectors(program: Command): void {
  const selector = program
    .command('selector')
    .description('selectors: which requests may run on which engines');
  selector
    .command('set <name> <pairs...>')
    .description('create a selector, or replace the one of the same name')
    .addHelpText(
      'after',
      '\nExample:\n  weirvale selector set invoices effect=allow tier=1 data.class=invoice place.approved=yes',
    )
    .action((name: string, pairs: string[]) =>
      setSelector(name, pairs, program.opts<GlobalOptions>()),
    );
  selector
    .command('unset <name>')
    .description('remove a selector')
    .action((name: string) => unsetSelector(name, program.opts<GlobalOptions>()));
}

function addExplain(program: Command): void {
  const collect = (value: string, values: string[]) => [...values, value];
  program
    .command('explain')
    .description('show which engines a request may use, at which tier, and why others are excluded')
    .requiredOption('--tenant <name>', 'tenant of the request')
    .requiredOption('--model <name>', 'model or plain service')
    .option(
      '--label <key=value>',
      'data label of the request; can be given several times',
      collect,
      [],
    )
    .addHelpText(
      'after',
      '\nExample:\n  weirvale explain --tenant underwriting --model risk --label class=invoice',
    )
    .action((options: ExplainOptions) =>
      explainPolicy({ ...program.opts<GlobalOptions>(), ...options }),
    );
}

function addStatus(program: Command): void {
  program
    .command('status <urls...>')
    .description(
      "show the state of running processes, given the URLs of their operators' interfaces",
    )
    .action((urls: string[]) => showStatus(urls, program.opts<GlobalOptions>()));
  program
    .command('hash-key <key>')
    .description(
      "print the salted hash of an API key, as a tenant's keys are written in the policy",
    )
    .action((key: string) => {
      const salt = randomBytes(SALT_BYTES).toString('hex');
      process.stdout.write(`${hashApiKey(key, salt)}\n`);
    });
}

function addSimulation(program: Command): void {
  const simulation = program
    .command('sim')
    .description('simulate a deployment under injected faults and check its guarantees');
  const withOptions = (command: Command) =>
    command
      .option('--deployment <name>', 'factoring or guild', 'factoring')
      .option('--duration <seconds>', 'virtual time during which callers send requests', '12')
      .option('--load <share>', 'offered load as a share of the total engine capacity', '0.8')
      .option(
        '--faults <set>',
        'none, all, crash, freeze, network, platform, overload, leave, policy',
        'all',
      )
      .option('--max-faults <count>', 'maximum number of faults per run', '6');
  const globals = () => program.opts<GlobalOptions>();
  withOptions(simulation.command('run'))
    .description('run one seed')
    .option('--seed <number>', 'seed of the run', '1')
    .action((options: SimulationArguments) => runSimulation({ ...globals(), ...options }));
  withOptions(simulation.command('search'))
    .description(
      'run a range of seeds, stop at the first that fails a check, and shrink its fault schedule',
    )
    .option('--seeds <range>', 'FIRST..LAST', '1..20')
    .option('--jobs <count>', 'number of seeds to run in parallel', '4')
    .addHelpText(
      'after',
      '\nExample:\n  weirvale sim search --deployment guild --seeds 1..200 --faults all',
    )
    .action((options: SimulationArguments) => searchSimulations({ ...globals(), ...options }));
  simulation
    .command('replay <file>')
    .description('run the fault schedule that a search saved')
    .action((file: string) => replaySimulation(file, globals()));
}

function addExperiments(program: Command): void {
  const experiment = program
    .command('experiment')
    .description("experiments with the gateway's scheduling: its own code on a virtual clock");
  experiment
    .command('run <file>')
    .description('run an experiment and print the net value of its responses for the callers')
    .option('--seeds <count>', 'run the seeds 1 to COUNT', '20')
    .option('--jobs <count>', 'number of seeds to run in parallel', '4')
    .option('--out <file>', 'write one JSON line for each seed to this file')
    .addHelpText('after', '\nExample:\n  weirvale experiment run examples/experiments/burst.ini')
    .action((file: string, options: ExperimentArguments) =>
      runExperimentFile(file, { ...program.opts<GlobalOptions>(), ...options }),
    );
}
