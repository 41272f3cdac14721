import t from 'tap';
import { createProtocolScanner } from './createProtocolScanner.js';
import { createTurnQueue } from './createTurnQueue.js';

t.test('runs one callback in each turn, in order', (t) => {
  const turns: (() => void)[] = [];
  const ran: number[] = [];
  const queue = createTurnQueue((callback) => turns.push(callback));
  for (const number of [1, 2, 3]) queue.add(() => ran.push(number));
  t.equal(turns.length, 1, 'one turn is asked for at a time');
  turns.shift()?.();
  t.same(ran, [1]);
  queue.add(() => ran.push(4));
  while (turns.length > 0) turns.shift()?.();
  t.same(ran, [1, 2, 3, 4]);
  t.end();
});

t.test('goes on after a callback that throws', (t) => {
  const turns: (() => void)[] = [];
  const queue = createTurnQueue((callback) => turns.push(callback));
  let isRun = false;
  queue.add(() => {
    throw new Error('failed');
  });
  queue.add(() => {
    isRun = true;
  });
  t.throws(() => turns.shift()?.());
  turns.shift()?.();
  t.ok(isRun);
  t.end();
});

t.test('finds the protocol of each head, however its bytes are split', (t) => {
  const heads =
    'HTTP/1.1 103 Early\r\nLink: x\r\n\r\n\r\nHTTP/1.0 199 P\n\nRTSP/1.0 200 OK\r\nHTTP/3 1: x';
  const bytes = Buffer.from(`${heads}\r\n\r\nHTTP/9.9 100`);
  const scanner = createProtocolScanner();
  for (const size of [1, 2, 7, 64, bytes.length]) {
    scanner.start();
    for (let offset = 0; offset < bytes.length; offset += size)
      scanner.scan(bytes.subarray(offset, offset + size));
    t.same(scanner.listProtocols(), ['HTTP/1.1', 'HTTP/1.0', 'RTSP/1.0'], `${size} bytes each`);
  }
  t.end();
});
