import t from 'tap';
import { createListAge } from './index.js';

function openAge() {
  const now = { monotonicMs: 1000, wallMs: 1000 };
  const age = createListAge({ monotonicMs: () => now.monotonicMs, wallMs: () => now.wallMs });
  return { age, now };
}

t.test('a list that was never read is older than any limit', (t) => {
  t.equal(openAge().age.getAgeMs(), Infinity);
  t.end();
});

t.test('news that is older than the list does not make it older', (t) => {
  const { age } = openAge();
  age.recordComplete({ monotonicMs: 900, wallMs: 900 });
  age.recordComplete({ monotonicMs: 400, wallMs: 400 });
  t.equal(age.getAgeMs(), 100);
  t.end();
});

t.test('the time for which a host is suspended counts', (t) => {
  const { age, now } = openAge();
  age.recordComplete({ ...now });
  now.wallMs += 3000;
  t.equal(age.getAgeMs(), 3000);
  t.end();
});

t.test('a wall clock that is set back does not hide the age', (t) => {
  const { age, now } = openAge();
  age.recordComplete({ ...now });
  now.monotonicMs += 700;
  now.wallMs -= 5000;
  t.equal(age.getAgeMs(), 700);
  t.end();
});
