import { computeTrialDelayMs } from '../../decisions/quarantine/computeTrialDelayMs/index.js';
import { findCrashingParts } from '../../decisions/quarantine/findCrashingParts/index.js';
import { listMatchingGroups } from '../../decisions/quarantine/listMatchingGroups/index.js';
import type { PartGroup, ServerCrash } from '../../decisions/quarantine/types.js';
import type { Clock } from '../../ports/clock.js';
import type { Log } from '../../ports/log.js';
import { SAME_CRASH_MS } from '../createCrashEvidence/index.js';
import type { FleetQuarantine, FleetReport } from '../fleetMessages.js';
import type { SavedPartGroup } from '../types.js';

/** Prompt parts that crash servers, from the reports of all hosts. */
export interface PartQuarantine {
  recordReport: (report: Pick<FleetReport, 'host' | 'crashes' | 'servedParts'>) => void;
  /** Draws conclusions; to be called before the views are built. */
  update: () => void;
  /** Takes the state for a host's view; undefined when the host knows it already. */
  takeState: (host: string) => FleetQuarantine | undefined;
  /** Forgets what was sent to a host. */
  resetSent: (host: string) => void;
  /** Grants a trial of all groups that a prompt with these parts holds. */
  tryTrial: (parts: readonly string[]) => boolean;
  /** Stores the groups with `write`, which returns whether it did, if they have changed. */
  save: (write: (groups: readonly SavedPartGroup[]) => Promise<boolean>) => Promise<void>;
}

interface Group extends PartGroup {
  parts: string[];
  trials: number;
  confirmations: number;
  trialAtMs: number;
  firstCrashAtMs: number;
  /** Whether the last trial has ended in a crash, or there was none. */
  isTrialOver: boolean;
}

const MAX_CRASHES = 64;
const MAX_CRASH_PARTS = 256; // a full batch whose requests have a few parts each
const CRASH_RETENTION_MS = 600_000;
const GROUP_RETENTION_MS = 86_400_000; // then two servers may crash with the parts again
const SETTLED_UPDATE_INTERVAL_MS = 10_000; // old crashes and groups are dropped then
const MAX_GROUPS = 64;
/** Servers that crashed with parts never served, over a time in which not one cause ends them all. */
const EVIDENT_CRASHES = 4;
const MIN_EVIDENT_SPAN_MS = 1000;
/** Bounds the views; parts of most crashes are watched first. */
const MAX_WATCHED_PARTS = 64;
/** Hosts are told to watch a part with one view, and report with the next round that they served it. */
const WATCH_TIME_MS = 450;

/** Creates the quarantine of a new leader, with the groups of the previous one. */
export function createPartQuarantine(options: {
  clock: Clock;
  log: Log;
  saved: readonly SavedPartGroup[];
}): PartQuarantine {
  const { clock, log } = options;
  const startedAtMs = clock.monotonicMs();
  const servedAtMs = new Map<string, number>();
  /** Since when hosts are told to watch a part; parts in most crashes first. */
  let watchedSinceMs: ReadonlyMap<string, number> = new Map();
  let crashes: (ServerCrash & { parts: Set<string> })[] = [];
  let groups: Group[] = options.saved.map((group) => ({
    ...group,
    parts: [...group.parts],
    firstCrashAtMs: startedAtMs,
    lastCrashAtMs: startedAtMs,
    trialAtMs: startedAtMs,
    isTrialOver: true,
  }));
  /** State as text as last sent to each host. */
  const sentTexts = new Map<string, string>();
  let state: FleetQuarantine = { watched: [], groups: [] };
  let stateText = '';
  // The store may have lost what the previous leader stored.
  let isSaved = groups.length === 0;
  let reportedAtMs = startedAtMs;
  let updatedAtMs = -Infinity;

  const setGroups = (next: Group[]): void => {
    groups = next;
    isSaved = false;
  };

  const confirm = (group: Group, reason: string): void => {
    group.confirmations += 1;
    group.isTrialOver = true;
    const { parts, crashes: count, confirmations } = group;
    log.warn({ parts, crashes: count, confirmations, reason }, 'servers crash on prompt parts');
    isSaved = false;
  };

  /** Counts a crash for the group that explains it best. */
  const countCrash = (crash: ServerCrash): void => {
    const [group] = listMatchingGroups(groups, [...crash.parts]).sort(
      (one, other) =>
        Number(one.wasServed) - Number(other.wasServed) || other.crashes - one.crashes,
    );
    // Hosts report crashes again that the previous leader has counted.
    if (group === undefined || crash.atMs < group.firstCrashAtMs) return;
    group.crashes += 1;
    group.lastCrashAtMs = Math.max(group.lastCrashAtMs, crash.atMs);
    isSaved = false;
    if (!group.isTrialOver && crash.atMs >= group.trialAtMs) confirm(group, 'trial');
  };

  /** Confirms what has crashed so many servers over some time that no trial is needed. */
  const confirmEvident = (nowMs: number): void => {
    for (const group of groups) {
      const { confirmations, wasServed, crashes: count, firstCrashAtMs, lastCrashAtMs } = group;
      if (confirmations > 0 || wasServed || count < EVIDENT_CRASHES) continue;
      if (lastCrashAtMs - firstCrashAtMs < MIN_EVIDENT_SPAN_MS) continue;
      group.trialAtMs = nowMs;
      confirm(group, 'crashes');
    }
  };

  const recordCrash = (
    host: string,
    { server, ageMs, parts }: FleetReport['crashes'][number],
  ): void => {
    const atMs = clock.monotonicMs() - ageMs;
    const known = crashes.find(
      (crash) => crash.server === server && Math.abs(crash.atMs - atMs) < SAME_CRASH_MS,
    );
    const crash = known ?? { server, atMs, parts: new Set<string>() };
    const groupsBefore = listMatchingGroups(groups, [...crash.parts]);
    for (const part of parts) if (crash.parts.size < MAX_CRASH_PARTS) crash.parts.add(part);
    if (known === undefined) {
      crashes = [...crashes, crash].slice(-MAX_CRASHES);
      log.info({ host, server, parts: [...parts] }, 'server broke connections');
    }
    if (groupsBefore.length === 0) countCrash(crash);
  };

  const recordServed = (part: string, atMs: number): void => {
    if (atMs > (servedAtMs.get(part) ?? -Infinity)) servedAtMs.set(part, atMs);
    const cleared = groups.filter(
      (group) => group.parts.includes(part) && (!group.wasServed || atMs > group.lastCrashAtMs),
    );
    if (cleared.length === 0) return;
    for (const group of cleared) {
      group.parts = group.parts.filter((item) => item !== part);
      log.info({ part, left: group.parts }, 'quarantined prompt part was served, cleared');
    }
    setGroups(groups.filter(({ parts }) => parts.length > 0));
  };

  const listUnexplained = (): ServerCrash[] =>
    crashes.filter(({ parts }) => listMatchingGroups(groups, [...parts]).length === 0);

  /** Parts that were not served since a crash that no group explains. */
  const listSuspected = (unexplained: readonly ServerCrash[]): string[] => {
    const counts = new Map<string, number>();
    for (const { atMs, parts } of [...unexplained].reverse())
      for (const part of parts)
        if ((servedAtMs.get(part) ?? -Infinity) < atMs)
          counts.set(part, (counts.get(part) ?? 0) + 1);
    return [...counts]
      .sort(([, one], [, other]) => other - one)
      .slice(0, MAX_WATCHED_PARTS)
      .map(([part]) => part);
  };

  const watch = (parts: readonly string[], nowMs: number): void => {
    watchedSinceMs = new Map(parts.map((part) => [part, watchedSinceMs.get(part) ?? nowMs]));
  };

  const addGroups = (unexplained: readonly ServerCrash[], nowMs: number): void => {
    const added = findCrashingParts(unexplained, servedAtMs).filter(({ parts }) =>
      parts.every((part) => nowMs - (watchedSinceMs.get(part) ?? nowMs) >= WATCH_TIME_MS),
    );
    if (added.length === 0) return;
    for (const { parts, crashes: count, wasServed } of added)
      log.warn({ parts, crashes: count, wasServed }, 'prompt parts put in quarantine');
    const fresh = added.map((group) => ({
      ...group,
      parts: [...group.parts],
      trials: 0,
      confirmations: 0,
      trialAtMs: -Infinity,
      firstCrashAtMs: Math.min(
        ...unexplained
          .filter(({ parts }) => group.parts.every((part) => parts.has(part)))
          .map(({ atMs }) => atMs),
      ),
      isTrialOver: true,
    }));
    setGroups([...groups, ...fresh].slice(-MAX_GROUPS));
  };

  const dropOld = (nowMs: number): void => {
    crashes = crashes.filter(({ atMs }) => nowMs - atMs < CRASH_RETENTION_MS);
    const current = groups.filter(
      ({ lastCrashAtMs }) => nowMs - lastCrashAtMs < GROUP_RETENTION_MS,
    );
    if (current.length < groups.length) setGroups(current);
    const crashParts = new Set(crashes.flatMap(({ parts }) => [...parts]));
    for (const part of servedAtMs.keys()) if (!crashParts.has(part)) servedAtMs.delete(part);
  };

  const buildState = (): void => {
    state = {
      watched: [...watchedSinceMs.keys()],
      groups: groups.map(({ parts, crashes: count, confirmations }) => ({
        parts,
        crashes: count,
        confirmations,
      })),
    };
    stateText = JSON.stringify(state);
  };
  buildState();

  const isTrialDue = (group: Group, nowMs: number): boolean =>
    nowMs - group.trialAtMs >= computeTrialDelayMs(group);

  return {
    recordReport: ({ host, crashes: reported, servedParts }) => {
      const nowMs = clock.monotonicMs();
      if (reported.length + servedParts.length > 0) reportedAtMs = nowMs;
      for (const [part, ageMs] of servedParts) recordServed(part, nowMs - ageMs);
      for (const crash of reported) recordCrash(host, crash);
    },
    update: () => {
      const nowMs = clock.monotonicMs();
      if (crashes.length + groups.length === 0) return;
      // Without new reports nothing is concluded once the hosts had time to answer for watched parts.
      const isSettled = nowMs - reportedAtMs > 2 * WATCH_TIME_MS;
      if (isSettled && nowMs - updatedAtMs < SETTLED_UPDATE_INTERVAL_MS) return;
      updatedAtMs = nowMs;
      dropOld(nowMs);
      const unexplained = listUnexplained();
      watch(listSuspected(unexplained), nowMs);
      addGroups(unexplained, nowMs);
      confirmEvident(nowMs);
      buildState();
    },
    takeState: (host) => {
      if (sentTexts.get(host) === stateText) return undefined;
      sentTexts.set(host, stateText);
      return state;
    },
    resetSent: (host) => void sentTexts.delete(host),
    tryTrial: (parts) => {
      const nowMs = clock.monotonicMs();
      const matching = listMatchingGroups(groups, parts);
      if (!matching.every((group) => isTrialDue(group, nowMs))) return false;
      for (const group of matching) {
        group.trials += 1;
        group.trialAtMs = nowMs;
        group.isTrialOver = false;
        isSaved = false;
      }
      log.info({ parts, groups: matching.length }, 'trial of quarantined prompt parts granted');
      return true;
    },
    save: async (write) => {
      if (isSaved) return;
      isSaved = true;
      const saved = groups.map(({ parts, crashes: count, trials, confirmations, wasServed }) => ({
        parts,
        crashes: count,
        trials,
        confirmations,
        wasServed,
      }));
      if (!(await write(saved))) isSaved = false;
    },
  };
}
