import { renderSettingsTable, type SettingDefinitions } from '../../settings/index.js';
import { entrySettings } from '../entry/settings.js';
import { placementSettings } from '../placement/settings.js';

const INTRODUCTION = `# Settings

Made by \`npm run settings\` from the settings' own definitions; a test compares the two.
A flag counts before its environment variable. All findings are reported at once, with exit code 2.
\`bronzelanding-platform\` has the flags from \`--client-memory-bytes\` to \`--max-fragmented-bodies\` of
\`bronzelanding-entry\` too; \`bronzelanding-platform --help\` lists all of its flags.

The operators' command takes its flags from \`bronzelanding --help\`; it reads
\`BRONZELANDING_KEY_VALUE_SERVICE\`, \`BRONZELANDING_OPERATOR_KEYS\` and \`BRONZELANDING_OPERATOR_KEY\`.
`;

/**
 * Renders docs/settings.md, with the settings of the programs that are outside the product at its end.
 */
export function renderSettingsPage(others: Readonly<Record<string, SettingDefinitions>>): string {
  return [
    INTRODUCTION,
    renderSettingsTable('bronzelanding-entry', entrySettings),
    renderSettingsTable('bronzelanding-placement', placementSettings),
    ...Object.entries(others).map(([program, definitions]) =>
      renderSettingsTable(program, definitions),
    ),
  ].join('\n');
}
