import { Buffer } from 'node:buffer';
import process from 'node:process';
import { fileURLToPath, URL } from 'node:url';
import { setTimeout as wait } from 'node:timers/promises';
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
const LOOKUP_TIMEOUT_MS = 2500; // timeout_ms of the route in the configuration
const SLACK_MS = 500; // "half a second later"
const STREAMS_PER_SECOND = 8; // all stream requests at this machine; one engine in four gets about a quarter
const LOOKUPS_PER_SECOND = 5;
const LENGTH_S = 20;
/** A piece of an event that never ends: one HTTP chunk with 16 bytes. */
const PIECE = '10\r\ntoken token toke\r\n';
const BLOCK = Buffer.from(PIECE.repeat(2000));

const record = openRecord(fileURLToPath(new URL('.', import.meta.url)));
const network = pickNetwork();
const store = new Store();
store.put('op/config', buildConfiguration(1));

/** A sound stream: 13 events, 40 ms apart. */
const answerSoundly = ({ incoming, response, common }) => {
  if (!incoming.url.startsWith('/batch/')) return false;
  response.writeHead(200, { ...common, 'Content-Type': 'text/event-stream' });
  let event = 0;
  const timer = globalThis.setInterval(() => {
    event += 1;
    response.write(`id: ${event}\ndata: piece ${event}\n\n`);
    if (event < 13) return;
    globalThis.clearInterval(timer);
    response.end();
  }, 40);
  response.once('close', () => globalThis.clearInterval(timer));
  return true;
};

let endless = 0;
/** The server in trouble: an event without end, until the caller closes. */
const answerWithoutEnd = ({ response, common, requestId }) => {
  endless += 1;
  response.writeHead(200, { ...common, 'Content-Type': 'text/event-stream' });
  response.flushHeaders();
  const { socket } = response;
  record.add('endless answer begins', { request: requestId });
  let isClosed = false;
  socket.once('close', () => {
    isClosed = true;
    record.add('endless answer closed by its caller', { request: requestId });
  });
  socket.write('6\r\ndata: \r\n');
  const write = () => {
    while (!isClosed && socket.write(BLOCK));
    if (!isClosed) socket.once('drain', write);
  };
  write();
  return true;
};

const engines = [];
const addEngine = async (id, service, address, options = {}) => {
  const engine = new Engine({ id, service, address, store, ...options });
  engines.push(await engine.start());
};
for (let index = 1; index <= 4; index += 1)
  await addEngine(`i-llm-${index}`, 'llm', `${network}.${100 + index}`, {
    models: ['m0', 'm1'],
    answer: TROUBLE && index === 1 ? answerWithoutEnd : answerSoundly,
  });
for (let index = 1; index <= 2; index += 1)
  await addEngine(`i-app-${index}`, 'app', `${network}.${110 + index}`, { slots: 6 });

const machine = new Machine({ name: 'front-1', address: `${network}.1`, store });
let exitCode = 2;
try {
  await machine.start();
  await waitUntil('the machine is ready', () => machine.isReady());
  await wait(3500); // contact_ms, so that it is in touch

  const sent = [];
  const sendOne = (path, options) => {
    const startedAt = Date.now();
    const entry = { path, tookMs: undefined, status: undefined };
    sent.push(entry);
    void send(machine, path, options).then((result) => {
      entry.tookMs = Date.now() - startedAt;
      entry.status = result.status;
      entry.endedMs = result.headMs ?? entry.tookMs;
      entry.error = result.error;
      record.add('answer', {
        path,
        request: result.id,
        status: result.status,
        ms: entry.tookMs,
        error: result.error,
      });
    });
  };
  let readyAsked = 0;
  let readyMissed = 0;
  const readyTimer = globalThis.setInterval(() => {
    readyAsked += 1;
    void machine.isReady().then((isReady) => {
      if (!isReady) readyMissed += 1;
      record.add('ready', { isReady });
    });
  }, 1000);
  const startedAt = Date.now();
  let streams = 0;
  let lookups = 0;
  while (Date.now() - startedAt < LENGTH_S * 1000) {
    const elapsedS = (Date.now() - startedAt) / 1000;
    for (; streams < elapsedS * STREAMS_PER_SECOND; streams += 1)
      sendOne('/batch/x', {
        deadlineMs: 6000,
        body: 'x'.repeat(600),
        headers: {
          Model: 'm0',
          'Token-Count': '828,292',
          'Prompt-Prefix': `aa:198,${streams}:630`,
        },
      });
    for (; lookups < elapsedS * LOOKUPS_PER_SECOND; lookups += 1)
      sendOne('/lookup/x', { method: 'GET', deadlineMs: LOOKUP_TIMEOUT_MS + 2000 });
    await wait(20);
  }
  await wait(8000);

  globalThis.clearInterval(readyTimer);
  const ordinary = sent.filter(({ path }) => path === '/lookup/x');
  // All requests, each by the timeout_ms of its route; one that ended in any way before that isn't counted.
  const isLate = ({ path, endedMs }, slackMs) =>
    endedMs === undefined || endedMs > (path === '/lookup/x' ? LOOKUP_TIMEOUT_MS : 6000) + slackMs;
  const unanswered = sent.filter((entry) => isLate(entry, 0));
  const late = unanswered.filter((entry) => isLate(entry, SLACK_MS));
  const isBroken = unanswered.length >= 8 && late.length > unanswered.length / 2;
  const summary = {
    lookups: ordinary.length,
    answered200: ordinary.filter(({ status }) => status === 200).length,
    lookupsLate: late.filter(({ path }) => path === '/lookup/x').length,
    unansweredAtTimeout: unanswered.length,
    unansweredHalfASecondLater: late.length,
    endlessAnswers: endless,
    streams: sent.length - ordinary.length,
    streams200: sent.filter(({ path, status }) => path === '/batch/x' && status === 200).length,
    readyAsked,
    readyMissed,
    residentMb: Math.round(machine.residentMb()),
    exit: machine.exit,
    isBroken,
  };
  record.add('summary', summary);
  process.stdout.write(`${JSON.stringify(summary)}\n`);
  exitCode = isBroken || machine.exit !== undefined ? 1 : 0;
} catch (error) {
  record.add('could not run', { error: String(error) });
  process.stdout.write(`${String(error)}\n`);
}
record.write();
endAll();
for (const engine of engines) engine.stop();
store.close();
process.exit(exitCode);
