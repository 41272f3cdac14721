// Preloaded into a host process. Tells when signals are handled, and whether that is before the modules of the host
// are loaded. SIGUSR2 sets the wall clock ahead, SIGWINCH sets it back; the same signal again undoes it.
import { writeSync } from 'node:fs';

process.on('newListener', (event) => {
  if (event !== 'SIGHUP') return;
  const isFirst = !process.moduleLoadList.includes('NativeModule http');
  writeSync(1, `${JSON.stringify({ msg: 'signals are handled', isFirst })}\n`);
});
const SHIFT_MS = 2400;
const readSystemClock = Date.now;
let shiftMs = 0;
Date.now = () => readSystemClock() + shiftMs;
process.on('SIGUSR2', () => {
  shiftMs = shiftMs === SHIFT_MS ? 0 : SHIFT_MS;
});
process.on('SIGWINCH', () => {
  shiftMs = shiftMs === -SHIFT_MS ? 0 : -SHIFT_MS;
});
