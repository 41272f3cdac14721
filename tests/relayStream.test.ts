import { Writable } from 'node:stream';
import { setImmediate as nextTurn } from 'node:timers/promises';
import fc from 'fast-check';
import t from 'tap';
import type { BackendResponse } from '#dist/adapters/backendServer/index.js';
import { relayStream } from '#dist/programs/entry/_lib/relayStream.js';

/** A caller's response that stops taking data while its gate is shut. */
function createResponse() {
  const written: string[] = [];
  let release: (() => void) | undefined;
  let isShut = false;
  const stream = new Writable({
    highWaterMark: 64,
    write: (chunk: Buffer, _encoding, done) => {
      written.push(chunk.toString());
      if (isShut) release = done;
      else done();
    },
  });
  const response = Object.assign(stream, { headersSent: false, writeHead: () => undefined });
  return {
    response,
    written,
    shut: () => (isShut = true),
    open: () => {
      isShut = false;
      release?.();
    },
  };
}

function buildAnswer(
  chunks: Iterable<string>,
  onPull: () => void = () => undefined,
): BackendResponse {
  async function* pull() {
    for (const chunk of chunks) {
      onPull();
      await nextTurn();
      yield Buffer.from(chunk);
    }
  }
  return { status: 200, headers: {}, body: pull() } as unknown as BackendResponse;
}

const buildEvent = (number: number, data = `t${number}`): string =>
  `id: s/${number}\ndata: ${data}\n\n`;
const request = (response: unknown) => ({ id: 'r', response }) as never;
const quiet = new AbortController().signal;

t.test('pulls nothing more from the engine while the caller does not read', async (t) => {
  const caller = createResponse();
  let pulled = 0;
  const events = Array.from({ length: 200 }, (_unused, index) => buildEvent(index + 1));
  const answer = buildAnswer([...events, buildEvent(201, '[DONE]')], () => (pulled += 1));
  caller.shut();
  const relaying = relayStream(
    {
      request: request(caller.response),
      open: () => Promise.reject(new Error('no')),
      wantsUsage: true,
      callerStallMs: 60_000,
      signal: quiet,
    },
    answer,
  );
  for (let turn = 0; turn < 500; turn += 1) await nextTurn();
  t.ok(pulled < 10, `pulled ${pulled} of 201 events`);
  caller.open();
  await relaying;
  t.equal(pulled, 201);
});

t.test('brings every event once, wherever streams are cut, repeated or have gaps', async () => {
  const cuts = fc.array(fc.record({ length: fc.nat(6), repeat: fc.nat(3), skip: fc.nat(1) }), {
    maxLength: 3,
  });
  const property = fc.asyncProperty(
    cuts,
    fc.integer({ min: 1, max: 12 }),
    async (pieces, count) => {
      const caller = createResponse();
      const left = [...pieces];
      const answerAfter = (last: number): BackendResponse => {
        const piece = left.shift();
        const start =
          piece === undefined
            ? last + 1
            : Math.max(1, last + 1 - piece.repeat + piece.skip * (piece.repeat + 1));
        const end = piece === undefined ? count : Math.min(count, start + piece.length);
        const chunks: string[] = [];
        for (let number = start; number <= end; number += 1) chunks.push(buildEvent(number));
        if (piece === undefined) chunks.push(buildEvent(count + 1, '[DONE]'));
        return buildAnswer(chunks);
      };
      const open = (id?: string) => Promise.resolve(answerAfter(Number((id ?? 's/0').slice(2))));
      const expected = Array.from(
        { length: count },
        (_unused, index) => `data: t${index + 1}\n\n`,
      ).join('');
      try {
        await relayStream(
          {
            request: request(caller.response),
            open,
            wantsUsage: true,
            callerStallMs: 1000,
            signal: quiet,
          },
          answerAfter(0),
        );
        return caller.written.join('') === `${expected}data: [DONE]\n\n`;
      } catch {
        // Given up: then the caller must have a start of the stream and no end event.
        return expected.startsWith(caller.written.join(''));
      }
    },
  );
  await fc.assert(property, { seed: 9, numRuns: 300 });
});
