import { readFileSync } from 'node:fs';

/** What a process has used. */
export interface ProcessUsage {
  /** Seconds of processor time since its start. */
  cpuSeconds: number;
  residentMegabytes: number;
}

const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4096;
const MEGABYTE = 1_000_000;
const UTIME_FIELD = 11;
const RSS_FIELD = 21;

/** Reads what a process has used from the kernel. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[UTIME_FIELD]) + Number(fields[UTIME_FIELD + 1]);
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentMegabytes: (Number(fields[RSS_FIELD]) * PAGE_BYTES) / MEGABYTE,
  };
}
