import type { Clock } from '../../ports/clock.js';

/** Limits what servers are sent beyond the first attempt of each request. */
export interface RepeatBudget {
  recordRequest: (service: string) => void;
  /** Takes one repeat from the service's budget; false when it is spent. */
  takeRepeat: (service: string) => boolean;
  /** Part of the fleet's fixed allowance that this host may use. */
  setShare: (hosts: number) => void;
}

/** Options of a budget of repeats. */
export interface RepeatBudgetOptions {
  clock: Clock;
  /** Repeats for each request. */
  ratio: number;
  /** Repeats of all hosts in one window beside the ratio. */
  extra: number;
  windowMs: number;
}

interface Window {
  startedAtMs: number;
  requests: number;
  repeats: number;
  /** Repeats of the window before. */
  previousRepeats: number;
  previousRequests: number;
}

const SAFE_PART = 0.8; // hosts measure their windows at different moments

/** Creates a budget of repeats over two half windows, so that no window of the full length is over it. */
export function createRepeatBudget(options: RepeatBudgetOptions): RepeatBudget {
  const { clock, ratio, extra, windowMs } = options;
  const halfMs = windowMs / 2;
  const windows = new Map<string, Window>();
  let hosts = 1;

  const findWindow = (service: string): Window => {
    const nowMs = clock.monotonicMs();
    const window = windows.get(service);
    if (window !== undefined && nowMs - window.startedAtMs < halfMs) return window;
    const isNext = window !== undefined && nowMs - window.startedAtMs < windowMs;
    const next: Window = {
      startedAtMs: isNext ? window.startedAtMs + halfMs : nowMs,
      requests: 0,
      repeats: 0,
      previousRepeats: isNext ? window.repeats : 0,
      previousRequests: isNext ? window.requests : 0,
    };
    windows.set(service, next);
    return next;
  };

  return {
    recordRequest: (service) => {
      findWindow(service).requests += 1;
    },
    takeRepeat: (service) => {
      const window = findWindow(service);
      const requests = window.requests + window.previousRequests;
      const allowed = SAFE_PART * (ratio * requests + extra / hosts);
      if (window.repeats + window.previousRepeats + 1 > allowed) return false;
      window.repeats += 1;
      return true;
    },
    setShare: (count) => {
      hosts = Math.max(1, count);
    },
  };
}
