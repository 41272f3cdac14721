import { EventEmitter } from 'node:events';
import { test } from 'tap';
import { createSignalListener } from './index.js';

/** A process that records its exit status instead of ending. */
function createProcess() {
  const exits: number[] = [];
  const source = Object.assign(new EventEmitter(), {
    exit: (status: number) => exits.push(status),
  });
  return { source, exits };
}

test('a reload that came before its handler is carried out once', (t) => {
  const { source } = createProcess();
  const signals = createSignalListener(source);
  source.emit('SIGHUP');
  source.emit('SIGHUP');
  let reloads = 0;
  signals.setReload(() => (reloads += 1));
  t.equal(reloads, 1);
  source.emit('SIGHUP');
  t.equal(reloads, 2);
  t.end();
});

test('a stop that came before its handler ends the process with status 0', (t) => {
  const { source, exits } = createProcess();
  createSignalListener(source);
  source.emit('SIGTERM');
  t.same(exits, [0]);
  t.end();
});

test('a stop is handled by its handler once that is set', (t) => {
  const { source, exits } = createProcess();
  const signals = createSignalListener(source);
  let stops = 0;
  signals.setStop(() => (stops += 1));
  source.emit('SIGINT');
  t.equal(stops, 1);
  t.same(exits, []);
  t.end();
});
