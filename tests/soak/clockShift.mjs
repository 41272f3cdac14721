// Preloaded into a host process: SIGUSR2 sets its wall clock ahead, SIGWINCH sets it back; the same signal again undoes it.
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
