// Measures what the users measure, beside our own baselines: npm run bench -- [part ...] [--json FILE]
import { writeFile } from 'node:fs/promises';
import { benchmarks } from './benchmarks.js';

const args = process.argv.slice(2);
const jsonAt = args.indexOf('--json');
const jsonFile = jsonAt === -1 ? undefined : args[jsonAt + 1];
const wanted = jsonAt === -1 ? args : args.toSpliced(jsonAt, 2);
const results: Record<string, unknown> = {};
for (const [name, { title, run }] of Object.entries(benchmarks)) {
  if (wanted.length > 0 && !wanted.includes(name)) continue;
  const startedAt = performance.now();
  const result = await run();
  results[name] = result.figures;
  process.stdout.write(
    `\n== ${title} (${((performance.now() - startedAt) / 1000).toFixed(0)} s)\n`,
  );
  process.stdout.write(`${result.text}\n`);
}
if (jsonFile !== undefined) await writeFile(jsonFile, JSON.stringify(results, undefined, 2));
process.exit(0);
