import { Writable } from 'node:stream';
import { setImmediate as nextTurn } from 'node:timers/promises';
import fc from 'fast-check';
import t from 'tap';
import type { BackendResponse } from '#dist/adapters/backendServer/index.js';
import { relayStream } from '#dist/programs/entry/_lib/relayStream.js';

/** Creates a caller's response that accepts no data while reading is paused. */
function createResponse() {
  const written: string[] = [];
  let release: (() => void) | undefined;
  let isPaused = false;
  const stream = new Writable({
    highWaterMark: 64,
    write: (chunk: Buffer, _encoding, done) => {
      written.push(chunk.toString());
      if (isPaused) release = done;
      else done();
    },
  });
  const response = Object.assign(stream, { headersSent: false, writeHead: () => undefined });
  return {
    response,
    written,
    pauseReading: () => (isPaused = true),
    open: () => {
      isPaused = false;
      release?.();
    },
  };
}

function buildResponse(
  chunks: Iterable<string>,
  onPull: () => void = () => undefined,
): BackendResponse {
  async function* readChunks() {
    for (const chunk of chunks) {
      onPull();
      await nextTurn();
      yield Buffer.from(chunk);
    }
  }
  return { status: 200, headers: {}, body: readChunks() } as unknown as BackendResponse;
}

const buildEvent = (number: number, data = `t${number}`): string =>
  `id: s/${number}\ndata: ${data}\n\n`;
const request = (response: unknown) => ({ id: 'r', response }) as never;
const neverAborted = new AbortController().signal;

t.test('stops reading from the engine while the caller does not read', async (t) => {
  const caller = createResponse();
  let pulled = 0;
  const events = Array.from({ length: 200 }, (_unused, index) => buildEvent(index + 1));
  const firstResponse = buildResponse([...events, buildEvent(201, '[DONE]')], () => (pulled += 1));
  caller.pauseReading();
  const relaying = relayStream(
    {
      request: request(caller.response),
      open: () => Promise.reject(new Error('no')),
      wantsUsage: true,
      callerStallMs: 60_000,
      signal: neverAborted,
    },
    firstResponse,
  );
  for (let turn = 0; turn < 500; turn += 1) await nextTurn();
  t.ok(pulled < 10, `pulled ${pulled} of 201 events`);
  caller.open();
  await relaying;
  t.equal(pulled, 201);
});

// Guards against an engine that sends an event without end, which was held until the memory was used up.
for (const [name, { text, bytesPerCharacter }] of Object.entries({
  'one line': { text: 'x'.repeat(16_384), bytesPerCharacter: 1 },
  // Of each line, a character and a line feed are held.
  lines: { text: 'data: x\n'.repeat(2048), bytesPerCharacter: 4 },
}))
  t.test(`stops reading an event that does not end: ${name}`, async (t) => {
    const caller = createResponse();
    let pulled = 0;
    const chunks = Array.from({ length: 400 }, () => text);
    const relaying = relayStream(
      {
        request: request(caller.response),
        open: () => Promise.reject(new Error('no')),
        wantsUsage: true,
        callerStallMs: 1000,
        signal: neverAborted,
      },
      buildResponse(chunks, () => (pulled += 1)),
    );
    await t.rejects(relaying, { message: /no event ends within 1048576 characters/ });
    const readBytes = pulled * text.length;
    t.ok(readBytes <= bytesPerCharacter * 1_048_576 + text.length, `${readBytes} bytes read`);
    t.equal(caller.written.join(''), '');
  });

t.test(
  'relays every event once when streams are truncated, repeat events or have gaps',
  async () => {
    const segmentsArbitrary = fc.array(
      fc.record({ length: fc.nat(6), repeat: fc.nat(3), skip: fc.nat(1) }),
      {
        maxLength: 3,
      },
    );
    const property = fc.asyncProperty(
      segmentsArbitrary,
      fc.integer({ min: 1, max: 12 }),
      async (segments, count) => {
        const caller = createResponse();
        const remainingSegments = [...segments];
        const buildResponseAfter = (last: number): BackendResponse => {
          const segment = remainingSegments.shift();
          const start =
            segment === undefined
              ? last + 1
              : Math.max(1, last + 1 - segment.repeat + segment.skip * (segment.repeat + 1));
          const end = segment === undefined ? count : Math.min(count, start + segment.length);
          const chunks: string[] = [];
          for (let number = start; number <= end; number += 1) chunks.push(buildEvent(number));
          if (segment === undefined) chunks.push(buildEvent(count + 1, '[DONE]'));
          return buildResponse(chunks);
        };
        const open = (id?: string) =>
          Promise.resolve(buildResponseAfter(Number((id ?? 's/0').slice(2))));
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
              signal: neverAborted,
            },
            buildResponseAfter(0),
          );
          return caller.written.join('') === `${expected}data: [DONE]\n\n`;
        } catch {
          // After a failure, the caller has received the beginning of the stream and no end event.
          return expected.startsWith(caller.written.join(''));
        }
      },
    );
    await fc.assert(property, { seed: 9, numRuns: 300 });
  },
);
