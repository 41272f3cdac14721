import { writeFile } from 'node:fs/promises';
import { renderSettingsPage } from './renderPage.js';

await writeFile('docs/settings.md', renderSettingsPage());
