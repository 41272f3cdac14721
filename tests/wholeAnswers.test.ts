import { connect } from 'node:net';
import t from 'tap';
import {
  buildExpectedText,
  readCompletionText,
  parseStream,
  sendCallerRequest,
} from './support/callers.js';
import { startFleet } from './support/fleet.js';
import { waitUntil } from './support/waitUntil.js';

const fleet = await startFleet({
  engines: 2,
  entries: 1,
  engineOptions: { tokenMs: 1, memoryBytes: 200 },
});
t.teardown(() => fleet.stop());
t.setTimeout(100_000);
await fleet.waitUntilResident('oak', 'pine', 'depot');
const entry = fleet.entries[0];
const url = `${entry?.origin ?? ''}/v1/completions`;
const key = fleet.keys.dryline;
const engines = [...fleet.engines.values()];

t.afterEach(() => {
  for (const { setFaults } of engines) setFaults({ cutStreams: 0, resumes: true, cutBeforeRun: 0 });
});

t.test('resumes a truncated stream without missing or repeated events', async (t) => {
  for (const { setFaults } of engines) setFaults({ cutStreams: 2, cutAfterEvents: 4 });
  const body = { model: 'oak', prompt: 'resume me', max_tokens: 30, stream: true };
  const stream = parseStream(await sendCallerRequest(url, { key, body }));
  t.ok(stream.isComplete);
  t.equal(stream.text, buildExpectedText('resume me', 30));
});

t.test(
  'ends a stream that cannot be resumed with an error event and without an end event',
  async (t) => {
    for (const { setFaults } of engines)
      setFaults({ cutStreams: 1, cutAfterEvents: 4, resumes: false });
    const body = { model: 'oak', prompt: 'cut me', max_tokens: 30, stream: true };
    const stream = parseStream(await sendCallerRequest(url, { key, body }));
    t.notOk(stream.isComplete);
    t.equal(stream.error?.code, 'backend_server_failed');
  },
);

t.test(
  'retries a completion on another engine when a connection closes before the response',
  async (t) => {
    for (const { setFaults } of engines) setFaults({ cutBeforeRun: 1 });
    const body = { model: 'oak', prompt: 'again', max_tokens: 3 };
    const response = await sendCallerRequest(url, { key, body });
    t.equal(readCompletionText(response), buildExpectedText('again', 3), response.text);
  },
);

t.test('returns to each of many concurrent callers the response to its own request', async (t) => {
  const results = await Promise.all(
    Array.from({ length: 120 }, async (_unused, index) => {
      const prompt = `prompt ${index}`;
      const isStream = index % 2 === 0;
      // Callers that disconnect early must not affect the responses of others.
      const signal = index % 7 === 0 ? AbortSignal.timeout(20) : undefined;
      const body = {
        model: index % 3 === 0 ? 'depot' : 'oak',
        prompt,
        max_tokens: 8,
        stream: isStream,
      };
      const response = await sendCallerRequest(url, { key, body, signal });
      if (response.status !== 200) return index % 7 === 0;
      const text = isStream ? parseStream(response).text : readCompletionText(response);
      return text === buildExpectedText(prompt, 8);
    }),
  );
  t.equal(results.filter((isCorrect) => !isCorrect).length, 0);
});

t.test('cancels a request on its engine when the caller disconnects', async (t) => {
  const before = engines.reduce((sum, { getStats }) => sum + getStats().cancelled, 0);
  const body = { model: 'oak', prompt: 'leave', max_tokens: 5000, stream: true };
  await sendCallerRequest(url, { key, body, signal: AbortSignal.timeout(100) });
  await waitUntil(
    'the engine has cancelled the request',
    () => engines.reduce((sum, { getStats }) => sum + getStats().cancelled, 0) > before,
  );
  t.pass('cancelled');
});

t.test('serves other callers while a caller does not read its stream', async (t) => {
  const prompt = 'slow '.repeat(20);
  const body = JSON.stringify({ model: 'oak', prompt, max_tokens: 20_000, stream: true });
  const port = Number(new URL(url).port);
  const socket = connect(port, '127.0.0.1');
  socket.pause();
  socket.write(
    `POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${key ?? ''}\r\n` +
      `content-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
  );
  const otherResponses = await Promise.all(
    [1, 2, 3].map((index) =>
      sendCallerRequest(url, { key, body: { model: 'pine', prompt: `p${index}`, max_tokens: 5 } }),
    ),
  );
  t.ok(
    otherResponses.every(({ status }) => status === 200),
    'others are served meanwhile',
  );
  socket.destroy();
});

t.test('refuses a malformed body and one that is too large', async (t) => {
  const largeBody = { model: 'oak', prompt: 'x'.repeat(1_100_000) };
  t.equal((await sendCallerRequest(url, { key, body: largeBody })).status, 413);
  const response = await fetch(url, {
    method: 'POST',
    headers: { authorization: `Bearer ${key ?? ''}` },
    body: '{"model":',
  });
  t.equal(response.status, 400);
});
