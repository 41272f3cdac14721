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

t.test('answers a whole completion', async (t) => {
  const body = { model: 'oak', prompt: 'how dry is it', max_tokens: 5 };
  const answer = await sendCallerRequest(`${origin}/v1/completions`, { key, body });
  t.equal(answer.status, 200, answer.text);
  t.equal(answer.outcome, 'run');
  t.equal(readCompletionText(answer), buildExpectedText('how dry is it', 5));
});

t.test('streams a chat completion of an adapter', async (t) => {
  const messages = [{ role: 'user', content: 'plan the floor' }];
  const body = { model: 'depot', messages, max_tokens: 20, stream: true };
  const answer = await sendCallerRequest(`${origin}/v1/chat/completions`, { key, body });
  t.equal(answer.status, 200, answer.text);
  const stream = parseStream(answer);
  t.ok(stream.isComplete);
  t.equal(stream.text, buildExpectedText(messages, 20));
});

t.test('runs a certificate once and replays it', async (t) => {
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

t.test('looks up, and serves open routes without a key', async (t) => {
  t.equal((await sendCallerRequest(`${origin}/certificates/17`, { key })).status, 200);
  t.equal((await sendCallerRequest(`${origin}/opening-hours`)).status, 200);
});

t.test('refuses what it must, always as not run', async (t) => {
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
    const answer = await call;
    t.equal(answer.status, status, name);
    t.equal(answer.outcome, 'not-run', name);
  }
});
