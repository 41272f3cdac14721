import { readFileSync } from 'node:fs';
import t from 'tap';
import { renderSettingsPage } from '#dist/programs/settingsPage/renderPage.js';
import { platformSettings } from '../platform/settings.js';

t.test('docs/settings.md matches the setting definitions of all programs', (t) => {
  const page = renderSettingsPage({ 'bronzelanding-platform': platformSettings });
  t.equal(readFileSync('docs/settings.md', 'utf8'), page);
  t.end();
});
