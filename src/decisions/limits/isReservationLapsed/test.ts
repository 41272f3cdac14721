import t from 'tap';
import { isReservationLapsed } from './index.js';

t.test('a host that was paused for 3 s sends what it reserved for the last half second', (t) => {
  const reservedMs = Array.from({ length: 30 }, (_, index) => 100 * index);
  const sent = reservedMs.filter((grantedMs) => !isReservationLapsed(grantedMs, 3000));
  t.equal(sent.length, 5, 'of 30 by the previous rule');
  t.notOk(isReservationLapsed(800, 1000), 'a little late');
  t.end();
});
