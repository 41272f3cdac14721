import { findCrashingParts } from '../../decisions/quarantine/findCrashingParts/index.js';
import { listMatchingGroups } from '../../decisions/quarantine/listMatchingGroups/index.js';
import type { ServerCrash } from '../../decisions/quarantine/types.js';
import type { Clock } from '../../ports/clock.js';
import {
  MAX_CRASH_PARTS,
  MAX_REPORTED_CRASHES,
  type FleetQuarantine,
  type FleetReport,
} from '../fleetMessages.js';

/** What this host has seen of crashing servers, and what the fleet has concluded from it. */
export interface CrashEvidence {
  /**
   * Records that a server broke the connection of a request that it had not begun to answer. `parts`
   * are the shared parts of its prompt, `sentAtMs` is when the request was sent.
   */
  recordCrash: (server: string, parts: readonly string[], sentAtMs: number) => void;
  /** Records that a server answers a request with these parts. */
  recordServed: (parts: readonly string[]) => void;
  /** Takes what is not yet reported to the leader. */
  takeReport: () => Pick<FleetReport, 'crashes' | 'servedParts'>;
  /** Forgets what was reported, as there is a new leader. */
  resetReported: () => void;
  /** Takes over the conclusions of the leader, or those in the store while there is no leader. */
  setQuarantine: (quarantine: FleetQuarantine, source: 'leader' | 'store') => void;
  /** Lists the groups of quarantined parts that a prompt holds. */
  listQuarantined: (parts: readonly string[]) => FleetQuarantine['groups'];
  /** Groups as last received. */
  getGroups: () => FleetQuarantine['groups'];
}

interface OwnCrash {
  server: string;
  atMs: number;
  parts: Set<string>;
  /** Whether the leader knows all of the parts. */
  isReported: boolean;
}

const MAX_SERVED_PARTS = 8192; // a few hundred kilobytes
const CRASH_RETENTION_MS = 60_000; // a new leader has been elected by then
/** A server's connections break within this time of each other. */
export const SAME_CRASH_MS = 2000;

/** Creates the crash evidence of this host; `isLed` tells whether a leader sends views. */
export function createCrashEvidence(clock: Clock, isLed: () => boolean): CrashEvidence {
  /** When requests with a part were last served, the latest at the end. */
  const servedAtMs = new Map<string, number>();
  const reportedServedAtMs = new Map<string, number>();
  let crashes: OwnCrash[] = [];
  let quarantine: FleetQuarantine = { watched: [], groups: [] };

  const findCrash = (server: string, nowMs: number): OwnCrash => {
    const known = crashes.find(
      (crash) => crash.server === server && nowMs - crash.atMs < SAME_CRASH_MS,
    );
    if (known !== undefined) return known;
    const crash = { server, atMs: nowMs, parts: new Set<string>(), isReported: false };
    crashes = [...crashes, crash].slice(-MAX_REPORTED_CRASHES);
    return crash;
  };

  const collectServed = (parts: Iterable<string>, nowMs: number): [string, number][] => {
    const ages: [string, number][] = [];
    for (const part of parts) {
      const atMs = servedAtMs.get(part);
      if (atMs === undefined || atMs === reportedServedAtMs.get(part)) continue;
      reportedServedAtMs.set(part, atMs);
      ages.push([part, nowMs - atMs]);
    }
    return ages;
  };

  /** Adds stored groups to those that the last leader has sent. */
  const addGroups = (stored: FleetQuarantine['groups']): FleetQuarantine['groups'] => {
    const keys = new Set(stored.map(({ parts }) => parts.join()));
    return [...stored, ...quarantine.groups.filter(({ parts }) => !keys.has(parts.join()))];
  };

  /** Groups of this host alone, which count while no leader collects the evidence of all. */
  const findOwnGroups = (): FleetQuarantine['groups'] =>
    findCrashingParts(crashes as readonly ServerCrash[], servedAtMs).map((group) => ({
      parts: [...group.parts],
      crashes: group.crashes,
      confirmations: 0,
    }));

  return {
    recordCrash: (server, parts, sentAtMs) => {
      const nowMs = clock.monotonicMs();
      crashes = crashes.filter(({ atMs }) => nowMs - atMs < CRASH_RETENTION_MS);
      const suspected = parts.filter((part) => (servedAtMs.get(part) ?? -Infinity) < sentAtMs);
      if (suspected.length === 0) return;
      const crash = findCrash(server, nowMs);
      for (const part of suspected) {
        if (crash.parts.has(part) || crash.parts.size >= MAX_CRASH_PARTS) continue;
        crash.parts.add(part);
        crash.isReported = false;
      }
    },
    recordServed: (parts) => {
      const nowMs = clock.monotonicMs();
      for (const part of parts) {
        servedAtMs.delete(part);
        servedAtMs.set(part, nowMs);
      }
      for (const part of servedAtMs.keys()) {
        if (servedAtMs.size <= MAX_SERVED_PARTS) return;
        servedAtMs.delete(part);
        reportedServedAtMs.delete(part);
      }
    },
    takeReport: () => {
      const nowMs = clock.monotonicMs();
      const unreported = crashes.filter(({ isReported }) => !isReported);
      for (const crash of unreported) crash.isReported = true;
      const watched = [...quarantine.watched, ...quarantine.groups.flatMap(({ parts }) => parts)];
      return {
        crashes: unreported.map(({ server, atMs, parts }) => ({
          server,
          ageMs: nowMs - atMs,
          parts: [...parts],
        })),
        servedParts: collectServed(
          [...watched, ...unreported.flatMap(({ parts }) => [...parts])],
          nowMs,
        ),
      };
    },
    resetReported: () => {
      reportedServedAtMs.clear();
      const nowMs = clock.monotonicMs();
      crashes = crashes.filter(({ atMs }) => nowMs - atMs < CRASH_RETENTION_MS);
      for (const crash of crashes) crash.isReported = false;
    },
    setQuarantine: (next, source) => {
      if (source === 'store' && isLed()) return;
      quarantine = source === 'leader' ? next : { ...quarantine, groups: addGroups(next.groups) };
      const watched = new Set(next.watched);
      for (const part of reportedServedAtMs.keys())
        if (!watched.has(part)) reportedServedAtMs.delete(part);
    },
    listQuarantined: (parts) =>
      listMatchingGroups(
        isLed() || crashes.length === 0
          ? quarantine.groups
          : [...quarantine.groups, ...findOwnGroups()],
        parts,
      ),
    getGroups: () => quarantine.groups,
  };
}
