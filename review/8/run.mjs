import process from 'node:process';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { send } from '../lib-2/client.mjs';
import { Engine } from '../lib-2/engine.mjs';
import {
  buildConfiguration,
  endAll,
  Machine,
  openRecord,
  pickNetwork,
  waitUntil,
} from '../lib-2/fleet.mjs';
import { Store } from '../lib-2/store.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const PIECES = 30;
const PIECE_MS = 60;

const record = openRecord(fileURLToPath(new URL('.', import.meta.url)));
const network = pickNetwork();
const store = new Store();
store.put('op/config', buildConfiguration(1));

const whole = new Map();
const unframed = new Set();
const answersOf = new Map();
/**
 * A sound answer over 1.8 s: with chunks, or, 5 in 100 of those of half of the engines, with neither a length
 * nor chunks and ended with its connection.
 */
const answerSoundly = ({ engine, incoming, response, requestId, common }) => {
  const { socket } = incoming;
  const isStream = incoming.url.startsWith('/batch/');
  const pieces = Array.from({ length: PIECES }, (_, index) =>
    isStream
      ? `id: ${index + 1}\ndata: piece ${index + 1}\n\n`
      : `line ${index + 1} of ${PIECES}\n`,
  );
  whole.set(requestId, pieces.join(''));
  const type = isStream ? 'text/event-stream' : 'text/plain';
  const number = (answersOf.get(engine.id) ?? 0) + 1;
  answersOf.set(engine.id, number);
  if (!engine.isUnframedAtTimes || number % 20 !== 0) {
    response.writeHead(200, { ...common, 'Content-Type': type });
    const chunks = setInterval(() => {
      response.write(pieces.shift());
      if (pieces.length > 0) return;
      clearInterval(chunks);
      response.end();
    }, PIECE_MS);
    response.once('close', () => clearInterval(chunks));
    return true;
  }
  unframed.add(requestId);
  const headers = { ...common, 'Content-Type': type, Connection: 'close' };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  socket.write(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`);
  socket.on('error', () => undefined);
  const timer = setInterval(() => {
    socket.write(pieces.shift());
    if (pieces.length > 0) return;
    clearInterval(timer);
    socket.end();
    record.add('the engine has ended its answer', { request: requestId });
  }, PIECE_MS);
  socket.once('close', () => clearInterval(timer));
  return true;
};

const engines = [];
const addEngine = async (id, service, address, options) => {
  const engine = new Engine({ id, service, address, store, answer: answerSoundly, ...options });
  engine.isUnframedAtTimes = engines.length % 2 === 0;
  engines.push(await engine.start());
};
for (let index = 1; index <= 4; index += 1)
  await addEngine(`i-llm-${index}`, 'llm', `${network}.${100 + index}`, { models: ['m0', 'm1'] });
for (let index = 1; index <= 4; index += 1)
  await addEngine(`i-app-${index}`, 'app', `${network}.${110 + index}`, { slots: 6 });

const machine = new Machine({ name: 'front-1', address: `${network}.1`, store });
let exitCode = 2;
try {
  await machine.start();
  await waitUntil('the machine is ready', () => machine.isReady());
  await wait(1000);
  const answers = [];
  for (let index = 0; index < 200; index += 1) {
    const isStream = index % 10 !== 0;
    const asked = isStream
      ? send(machine, '/batch/x', {
          deadlineMs: 6000,
          body: 'x',
          headers: {
            Model: 'm0',
            'Token-Count': '100,80',
            'Prompt-Prefix': `p${index}:60,${index}:40`,
          },
        })
      : send(machine, '/lookup/x', { method: 'GET', deadlineMs: 2500 });
    answers.push(asked.then((result) => ({ isStream, ...result })));
    await wait(4);
  }
  await wait(300);
  if (TROUBLE) {
    record.add('SIGKILL', { machine: machine.name });
    machine.signal('SIGKILL');
  }
  let partial = 0;
  let partialStreams = 0;
  let complete = 0;
  let failed = 0;
  for (const { id, isStream, status, body, isComplete, error, headers } of await Promise.all(
    answers,
  )) {
    const isWhole = body === whole.get(id);
    const looksComplete =
      status === 200 && headers['server-seal'] !== undefined && isComplete && error === undefined;
    record.add('answer', {
      request: id,
      isStream,
      status,
      looksComplete,
      isWhole,
      bytes: body.length,
      of: whole.get(id)?.length,
      error,
    });
    if (!looksComplete) failed += 1;
    else if (isWhole) complete += 1;
    else if (isStream) partialStreams += 1;
    else partial += 1;
  }
  const isBroken = partial + partialStreams > 0;
  const summary = {
    complete,
    failed,
    unframed: unframed.size,
    partialAnswersThatLookComplete: partial,
    partialStreamsThatLookComplete: partialStreams,
    isBroken,
  };
  record.add('summary', summary);
  process.stdout.write(`${JSON.stringify(summary)}\n`);
  exitCode = isBroken ? 1 : 0;
  if (!TROUBLE && complete < answers.length) exitCode = 2;
} catch (error) {
  record.add('could not run', { error: String(error) });
  process.stdout.write(`${String(error)}\n`);
}
record.write();
endAll();
for (const engine of engines) engine.stop();
store.close();
process.exit(exitCode);
