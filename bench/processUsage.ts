import { readFileSync } from 'node:fs';

/** Resource usage of a process. */
export interface ProcessUsage {
  /** Processor time since its start, user and system. */
  cpuSeconds: number;
  residentMegabytes: number;
}

const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4096;
const MEGABYTE = 1_000_000;
const UTIME_FIELD = 11; // index among the fields after the process name; stime follows
const RSS_FIELD = 21;

/** Reads the resource usage of a process from /proc. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[UTIME_FIELD]) + Number(fields[UTIME_FIELD + 1]);
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentMegabytes: (Number(fields[RSS_FIELD]) * PAGE_BYTES) / MEGABYTE,
  };
}
