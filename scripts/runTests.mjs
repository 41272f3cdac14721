// Runs the given test files, or all of them, with tap and prints the failures. Failures of the cases that KNOWN-RED.txt
// lists do not fail the run.
import { spawn } from 'node:child_process';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { Parser } from 'tap-parser';

// Tests of memory and descriptors under load; other tests beside them would distort both.
const SEPARATE_FILES = [
  'dist-tools/tests/clientLimits.test.js',
  'dist-tools/tests/entryLimits.test.js',
  'dist-tools/tests/slowClients.test.js',
];
const givenFiles = process.argv.slice(2);
const files = givenFiles.length > 0 ? givenFiles : listTestFiles();

// tap drops a missing file silently if others are given.
const missingFiles = files.filter((path) => !existsSync(path));
if (missingFiles.length > 0) throw new Error(`no such test file: ${missingFiles.join(', ')}`);

function listTestFiles() {
  const units = readdirSync('dist', { recursive: true })
    .filter((path) => path.endsWith('/test.js'))
    .map((path) => `dist/${path}`);
  const others = readdirSync('dist-tools/tests')
    .filter((path) => path.endsWith('.test.js'))
    .map((path) => `dist-tools/tests/${path}`);
  return [...others.sort(), ...units.sort()];
}

/** Reads the known failures: lines such as `test: dist-tools/tests/path.test.js > answers`. */
function readKnownRed() {
  if (!existsSync('KNOWN-RED.txt')) return [];
  return readFileSync('KNOWN-RED.txt', 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim());
}

const knownRed = readKnownRed();
const failures = [];
let passed = 0;

/** Counts passed tests (the subtests of each file) and collects failed tests and assertions. */
function collectResults(parser, path) {
  parser.on('child', (child) => collectResults(child, [...path, child.name]));
  parser.on('assert', (result) => {
    if (result.ok && path.length === 1) passed += 1;
    if (result.ok || path.length === 0) return;
    const isTest = path.length === 1;
    const fullName = [...path, ...(isTest ? [result.name] : [])].join(' > ');
    failures.push({ fullName, isTest, message: result.name, diagnostics: result.diag });
  });
}

let output = '';
let isUnexplained = false;

/** Runs test files with tap; a failed run without a failed test is unexplained. */
async function runFiles(paths) {
  if (paths.length === 0) return;
  const earlierFailures = failures.length;
  const parser = new Parser();
  collectResults(parser, []);
  const child = spawn('npx', ['tap', 'run', '--reporter=tap', ...paths], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  child.stdout.on('data', (chunk) => {
    output += chunk;
    parser.write(chunk);
  });
  const exitCode = await new Promise((resolve) => child.once('close', resolve));
  parser.end();
  if (exitCode !== 0 && failures.length === earlierFailures) isUnexplained = true;
}

const isSeparate = (path) => SEPARATE_FILES.includes(path);
await runFiles(files.filter((path) => !isSeparate(path)));
for (const path of files.filter(isSeparate)) await runFiles([path]);

const isKnown = ({ fullName }) => knownRed.some((red) => fullName.startsWith(red));
const failedTests = failures.filter(({ isTest }) => isTest);
const unexpectedFailures = failedTests.filter((failure) => !isKnown(failure));
for (const { fullName, message, diagnostics } of failures.filter(({ isTest }) => !isTest)) {
  const mark = isKnown({ fullName }) ? 'known red' : 'FAILED';
  console.log(
    `${mark}: ${fullName}: ${message.slice(0, 2000)}\n${JSON.stringify(diagnostics, undefined, 2) ?? ''}`,
  );
}
if (isUnexplained) console.log(output.slice(-5000));
console.log(
  `${files.length} test files, ${failedTests.length - unexpectedFailures.length} known red`,
);
console.log(`${passed} passed, ${unexpectedFailures.length + (isUnexplained ? 1 : 0)} failed`);
process.exit(unexpectedFailures.length > 0 || isUnexplained ? 1 : 0);
