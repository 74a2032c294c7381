/** Queries of a settings file: check, effective values, reference. */
import { formatSettings, formatSettingsReference, parseSettings } from '../../server/settings.js';
import type { Settings } from '../../server/settings-schema.js';
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

function readSettings(path: string): Settings {
  const settings = parseSettings(readInput(path));
  if (!settings.ok) {
    throw new CommandFailure(EXIT.badInput, `${path}:\n${settings.val.message}`);
  }
  return settings.val;
}
