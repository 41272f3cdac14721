// Loaded into a host before its program: signals shift the wall clock that the program reads.
const SHIFT_MS = 2400;
const readClock = Date.now;
let shiftMs = 0;
Date.now = () => readClock() + shiftMs;
process.on('SIGUSR2', () => {
  shiftMs = shiftMs === SHIFT_MS ? 0 : SHIFT_MS;
});
process.on('SIGWINCH', () => {
  shiftMs = shiftMs === -SHIFT_MS ? 0 : -SHIFT_MS;
});
