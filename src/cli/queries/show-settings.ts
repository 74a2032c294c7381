/** Settings queries: check, effective values, reference. */
import { parseGatewaySettings } from '../../gateway/gateway-settings.js';
import type { GatewaySettings } from '../../gateway/gateway-settings.js';
import type { Result } from '../../result.js';
import { formatSettings, formatSettingsReference, parseSettings } from '../../server/settings.js';
import type { Settings } from '../../server/settings-schema.js';
import type { InvalidSettingsError } from '../../settings-file.js';
import { CommandError, printOutput, readInputFile } from '../context.js';
import type { GlobalOptions } from '../context.js';
import { EXIT } from '../exit-codes.js';

/** Validates a settings file; the error lists every problem. */
export function checkSettings(path: string, options: GlobalOptions): void {
  const settings = readSettings(path);
  printOutput(options, { usable: true }, `${path} is usable: ${settings.process.role}`);
}

/** Shows the effective values, including defaults. */
export function showSettings(path: string, options: GlobalOptions): void {
  const settings = readSettings(path);
  printOutput(options, settings, formatSettings(settings));
}

/** Prints the settings reference in Markdown. */
export function showSettingsReference(): void {
  process.stdout.write(formatSettingsReference());
}

/** Matches the roles `gateway` and `slot-agent`, which have their own settings schema. */
const GATEWAY_ROLE = /^\s*role\s*=\s*(gateway|slot-agent)\s*$/m;

function readSettings(path: string): Settings | GatewaySettings {
  const text = readInputFile(path);
  const settings: Result<Settings | GatewaySettings, InvalidSettingsError> = GATEWAY_ROLE.test(text)
    ? parseGatewaySettings(text)
    : parseSettings(text);
  if (!settings.ok) {
    throw new CommandError(EXIT.badInput, `${path}:\n${settings.val.message}`);
  }
  return settings.val;
}
