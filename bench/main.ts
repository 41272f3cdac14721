// Runs all benchmarks or only the named ones. They measure what users measure, and baselines to compare it with:
// npm run bench -- [name ...] [--json FILE]
import { writeFile } from 'node:fs/promises';
import { benchmarks } from './benchmarks.js';

const args = process.argv.slice(2);
const jsonIndex = args.indexOf('--json');
const jsonFile = jsonIndex === -1 ? undefined : args[jsonIndex + 1];
const selected = jsonIndex === -1 ? args : args.toSpliced(jsonIndex, 2);
const results: Record<string, unknown> = {};
for (const [name, { title, run }] of Object.entries(benchmarks)) {
  if (selected.length > 0 && !selected.includes(name)) continue;
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
