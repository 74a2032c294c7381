/** Queries of a settings file: check, effective values, reference. */
import { parseGatewaySettings } from '../../gateway/gateway-settings.js';
import type { GatewaySettings } from '../../gateway/gateway-settings.js';
import type { Result } from '../../result.js';
import { formatSettings, formatSettingsReference, parseSettings } from '../../server/settings.js';
import type { Settings } from '../../server/settings-schema.js';
import type { InvalidSettingsError } from '../../settings-file.js';
import { CommandFailure, print, readInput } from '../context.js';
import type { GlobalOptions } from '../context.js';
import { EXIT } from '../exit-codes.js';

/** Names every fault of a settings file. */
export function checkSettings(path: string, options: GlobalOptions): void {
  const settings = readSettings(path);
  print(options, { usable: true }, `${path} is usable: ${settings.process.role}`);
}

/** Shows the effective values, defaults included. */
export function showSettings(path: string, options: GlobalOptions): void {
  const settings = readSettings(path);
  print(options, settings, formatSettings(settings));
}

/** Prints the reference page. */
export function showSettingsReference(): void {
  process.stdout.write(formatSettingsReference());
}

/** Roles of the direct path, whose settings have a schema of their own. */
const GATEWAY_ROLE = /^\s*role\s*=\s*(gateway|slot-agent)\s*$/m;

function readSettings(path: string): Settings | GatewaySettings {
  const text = readInput(path);
  const settings: Result<Settings | GatewaySettings, InvalidSettingsError> = GATEWAY_ROLE.test(text)
    ? parseGatewaySettings(text)
    : parseSettings(text);
  if (!settings.ok) {
    throw new CommandFailure(EXIT.badInput, `${path}:\n${settings.val.message}`);
  }
  return settings.val;
}
