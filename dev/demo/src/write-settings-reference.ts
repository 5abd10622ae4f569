import {writeFile} from 'node:fs/promises';
import {createSettingsReference} from './settings-reference.js';

await writeFile('docs/settings.md', createSettingsReference());
