import t from 'tap';
import {
  buildExpectedText,
  readCompletionText,
  parseStream,
  sendCallerRequest,
} from './support/callers.js';
import { startFleet } from './support/fleet.js';

const fleet = await startFleet();
t.teardown(() => fleet.stop());
t.setTimeout(100_000);
await fleet.waitUntilResident('oak', 'pine', 'depot');
const origin = fleet.entries[0]?.origin ?? '';
const key = fleet.keys.dryline;

t.test('returns a completion without streaming', async (t) => {
  const body = { model: 'oak', prompt: 'how dry is it', max_tokens: 5 };
  const response = await sendCallerRequest(`${origin}/v1/completions`, { key, body });
  t.equal(response.status, 200, response.text);
  t.equal(response.outcome, 'run');
  t.equal(readCompletionText(response), buildExpectedText('how dry is it', 5));
});

t.test('streams a chat completion of an adapter', async (t) => {
  const messages = [{ role: 'user', content: 'plan the floor' }];
  const body = { model: 'depot', messages, max_tokens: 20, stream: true };
  const response = await sendCallerRequest(`${origin}/v1/chat/completions`, { key, body });
  t.equal(response.status, 200, response.text);
  const stream = parseStream(response);
  t.ok(stream.isComplete);
  t.equal(stream.text, buildExpectedText(messages, 20));
});

t.test('runs a request with an idempotency key once and replays its response', async (t) => {
  const headers = { 'idempotency-key': 'load-17' };
  const body = { id: 'certificate-17' };
  const first = await sendCallerRequest(`${origin}/certificates`, { key, body, headers });
  t.equal(first.status, 200, first.text);
  const other = fleet.entries[1]?.origin ?? '';
  let second = await sendCallerRequest(`${other}/certificates`, { key, body, headers });
  while (second.status === 409)
    second = await sendCallerRequest(`${other}/certificates`, { key, body, headers });
  t.equal(second.status, 200, second.text);
  t.equal(second.headers.get('idempotency-replayed'), 'true');
  t.equal(second.text, first.text);
});

t.test('serves lookups with a key and open routes without one', async (t) => {
  t.equal((await sendCallerRequest(`${origin}/certificates/17`, { key })).status, 200);
  t.equal((await sendCallerRequest(`${origin}/opening-hours`)).status, 200);
});

t.test('refuses invalid requests with the outcome not-run', async (t) => {
  const body = { model: 'oak', prompt: 'x', max_tokens: 5 };
  const url = `${origin}/v1/completions`;
  const cases: [string, Promise<{ status: number; outcome: string | null }>, number][] = [
    ['no key', sendCallerRequest(url, { body }), 401],
    ['unknown key', sendCallerRequest(url, { body, key: 'nobody' }), 401],
    ['unknown model', sendCallerRequest(url, { key, body: { ...body, model: 'none' } }), 404],
    ['no prompt', sendCallerRequest(url, { key, body: { model: 'oak' } }), 400],
    ['unknown route', sendCallerRequest(`${origin}/nowhere`, { key }), 404],
    [
      'above the burst',
      sendCallerRequest(url, { key, body: { ...body, max_tokens: 990_000 } }),
      400,
    ],
    ['key in the body', sendCallerRequest(url, { key, body: { ...body, user: key } }), 400],
  ];
  for (const [name, call, status] of cases) {
    const response = await call;
    t.equal(response.status, status, name);
    t.equal(response.outcome, 'not-run', name);
  }
});
