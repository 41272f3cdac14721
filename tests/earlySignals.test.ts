import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { test } from 'tap';

const daemonModule = new URL('../../dist/programs/runDaemon.js', import.meta.url).href;

/** A daemon whose start takes until a line arrives on its standard input. */
const script = `
import { once } from 'node:events';
import { runDaemon } from '${daemonModule}';
await runDaemon({
  program: 'daemon',
  description: '',
  definitions: {},
  start: async () => {
    console.log('starting');
    await once(process.stdin, 'data');
    return { stop: () => Promise.resolve(), reload: () => console.log('reloaded') };
  },
});
`;

/** Starts the daemon; resolves while it is starting. */
async function startDaemon() {
  const child = spawn(process.execPath, ['--input-type=module', '-e', script], {
    stdio: ['pipe', 'pipe', 'inherit'],
  });
  const lines = createInterface({ input: child.stdout })[Symbol.asyncIterator]();
  const exited = once(child, 'exit').then(([code, signal]: unknown[]) => code ?? signal);
  const readLine = async (): Promise<string> =>
    Promise.race([lines.next().then(({ value }) => String(value)), exited.then(String)]);
  await readLine();
  return { child, readLine, exited };
}

// Guards against handlers that are set after the start: the default action of a signal ended the process.
test('a reload during the start is carried out after it', async (t) => {
  const { child, readLine, exited } = await startDaemon();
  child.kill('SIGHUP');
  child.stdin.write('go\n');
  t.equal(await readLine(), 'reloaded');
  child.kill('SIGTERM');
  t.equal(await exited, 0);
});

test('a stop during the start ends the process with status 0', async (t) => {
  const { child, exited } = await startDaemon();
  child.kill('SIGTERM');
  t.equal(await exited, 0);
});
