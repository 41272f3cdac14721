import { readFileSync, rmSync, writeFileSync } from 'node:fs';
import { fileURLToPath, pathToFileURL } from 'node:url';
import t from 'tap';

const page = readFileSync('docs/library.md', 'utf8');
const examples = [...page.matchAll(/^## (.*?)\n[\s\S]*?```js\n([\s\S]*?)```/gm)];

t.test('finds the examples of docs/library.md', (t) => {
  t.equal(examples.length, 5);
  t.end();
});

for (const [index, [, title = '', code = '']] of examples.entries())
  t.test(`runs the example "${title}"`, async (t) => {
    const file = fileURLToPath(new URL(`../example-${index}.mjs`, import.meta.url));
    writeFileSync(file, code);
    t.teardown(() => rmSync(file));
    await import(pathToFileURL(file).href);
    t.pass(title);
  });
