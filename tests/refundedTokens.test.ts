import t, { type Test } from 'tap';
import { EngineBehaviour } from './support/platformEngine.js';
import {
  buildConfiguration,
  API_KEY,
  sendToHost,
  startPlatformFleet,
} from './support/platformFleet.js';
import { waitUntil } from './support/waitUntil.js';

const OTHER_KEY = 'key-of-another';
const RATE = 500;
const BURST = 1000; // full after 2 s
const LARGE = { 'token-count': '9000,20' };

/** Starts a host whose only engine treats requests with the id `large` in a given way. */
async function startHostWithLimits(t: Test, behaviour: EngineBehaviour) {
  const fleet = await startPlatformFleet(1, [{ id: 'e1', models: { oak: [] } }]);
  t.teardown(fleet.close);
  const tenant = { plain_tokens: 10, rate_per_s: RATE, burst: BURST };
  const tenants = [
    { ...tenant, name: 'depots', api_keys: [API_KEY] },
    { ...tenant, name: 'other', api_keys: [OTHER_KEY] },
  ];
  fleet.store.put('op/config', buildConfiguration(2, { tenants }));
  const [host] = fleet.hosts as [(typeof fleet.hosts)[number]];
  fleet.engines[0]?.setBehaviour(({ id }) => (id === 'large' ? behaviour : EngineBehaviour.serve));
  const sendLarge = () => sendToHost(host, '/chat/1', { id: 'large', headers: LARGE });
  const headers = { authorization: `Bearer ${OTHER_KEY}` };
  const isInForce = async () => (await sendToHost(host, '/chat/1', { headers })).status !== 401;
  await waitUntil('the limit is in force', isInForce);
  let status = 429;
  await waitUntil('the bucket is full', async () => {
    ({ status } = await sendLarge());
    return status !== 429;
  });
  return { host, status };
}

// The bucket would be below zero for 16 s, in which the organisation gets 429.
t.test('a request that its engine refuses is not charged', async (t) => {
  const { host, status } = await startHostWithLimits(t, EngineBehaviour.refuse);
  t.equal(status, 503);
  for (let count = 0; count < 3; count += 1)
    t.equal((await sendToHost(host, '/chat/1')).status, 200);
});

t.test('a request that may have run is charged', async (t) => {
  const { host, status } = await startHostWithLimits(t, EngineBehaviour.loseResponse);
  t.equal(status, 502);
  t.equal((await sendToHost(host, '/chat/1')).status, 429);
});
