import { setTimeout as sleep } from 'node:timers/promises';
import { findSoleVersion } from '../../decisions/softwareVersions/findSoleVersion/index.js';
import type { KnownVersions } from '../../decisions/softwareVersions/types.js';
import type { ServingRequest } from '../../ports/serving.js';
import { createRecordWriter } from './_lib/createRecordWriter.js';
import {
  buildServicePrefix,
  buildStreamKey,
  collectVersions,
  listAll,
  parseStreamRecord,
  type StreamRecord,
} from '../versionKeys.js';
import { createStoreTries } from './_lib/createStoreTries.js';
import { createVersionView } from './_lib/createVersionView.js';
import { VersionSource, type StreamVersions, type StreamVersionsOptions } from './types.js';

export * from './types.js';

const READ_TIMEOUT_MS = 1000; // callers wait 2 s for the next event
/** Age of the list of servers up to which no stream of a version that it lacks can have been broken off. */
const MAX_LIST_AGE_MS = 1000;
const RETENTION_MS = 20_000; // callers try for no longer than a request may last

/** Recorded for a stream that must not go on at any version. */
const UNKNOWN_VERSION = '';
const UNREADABLE_RECORD: StreamRecord = { version: UNKNOWN_VERSION, server: '', host: '' };

interface OwnStream {
  service: string;
  record: StreamRecord;
}

/** What the store says of a stream and of the versions of its service. */
interface StoreFinding {
  record?: StreamRecord;
  recorded: ReadonlySet<string>;
}

/** Builds the key of a stream of a request's organisation; undefined without the id of what began it. */
function buildKey({ organisation }: ServingRequest, id: string | undefined): string | undefined {
  return id === undefined || id === '' ? undefined : buildStreamKey(organisation?.name, id);
}

/**
 * Creates the software versions of a host that has begun no stream. A stream has a record in the store
 * only while its service has, or lately had, several versions.
 */
export function createStreamVersions(options: StreamVersionsOptions): StreamVersions {
  const { store, clock, log, host, outage, listAge } = options;
  const streams = new Map<string, OwnStream>();
  const mayAskStore = createStoreTries(clock, outage);
  const writer = createRecordWriter({
    ...options,
    mayAskStore,
    nowMs: clock.monotonicMs,
    findRecord: (key) => streams.get(key)?.record,
    onWritten: options.onRecordsWritten,
  });

  /** Writes the records of the streams that this host has begun, of one service or of all. */
  const recordAll = (service?: string): void => {
    for (const [key, stream] of streams)
      if (stream.service === (service ?? stream.service)) writer.add(key);
  };
  const view = createVersionView({
    ...options,
    onMixed: (service) => {
      log.info({ service, streams: streams.size }, 'service may have several software versions');
      recordAll(service);
    },
  });
  store.onEpochChange(() => recordAll());

  const readStore = async (
    key: string | undefined,
    service: string,
  ): Promise<StoreFinding | undefined> => {
    const prefix = buildServicePrefix(service);
    const [stream, versions] = await Promise.all([
      key === undefined ? undefined : store.list(key),
      listAll(store, prefix),
    ]);
    outage.recordResponse();
    const value = stream?.items[0]?.value;
    return {
      record: value && (parseStreamRecord(value) ?? UNREADABLE_RECORD),
      recorded: collectVersions(versions, store.getEpoch()).get(service) ?? new Set(),
    };
  };

  const tryReadStore = async (
    key: string | undefined,
    service: string,
  ): Promise<StoreFinding | undefined> => {
    if (!mayAskStore()) return undefined;
    const timeout = sleep(READ_TIMEOUT_MS, undefined, { ref: false });
    return Promise.race([readStore(key, service).catch(() => undefined), timeout]);
  };

  /** Finds the only version; without the store only as long as the list cannot lack a newer one. */
  const findSole = (known: KnownVersions, isStoreRead: boolean): string | undefined =>
    isStoreRead || listAge.getAgeMs() <= MAX_LIST_AGE_MS ? findSoleVersion(known) : undefined;

  return {
    setServers: view.setServers,
    recordBegun: (request, { id, service, softwareVersion = UNKNOWN_VERSION }) => {
      const key = buildKey(request, request.id);
      if (key === undefined) return;
      streams.set(key, { service, record: { version: softwareVersion, server: id, host } });
      if (view.findSole(service) !== softwareVersion) writer.add(key);
    },
    recordEnded: (request, isComplete) => {
      const key = buildKey(request, request.id);
      if (key === undefined || !streams.has(key)) return;
      if (isComplete) streams.delete(key);
      else setTimeout(() => streams.delete(key), RETENTION_MS).unref();
    },
    findVersion: async (request) => {
      const { service } = request;
      const key = buildKey(request, request.resumedRequestId);
      const own = key === undefined ? undefined : streams.get(key)?.record;
      const found = own === undefined ? await tryReadStore(key, service) : undefined;
      if (found !== undefined) view.setRecorded(service, found.recorded);
      const cached = view.getKnown(service);
      // A restored store may lack the key of a version whose servers have not registered again.
      const recorded = new Set([
        ...(found?.recorded ?? cached.recorded),
        ...view.listRecent(service),
      ]);
      const known = { ...cached, recorded };
      const record = own ?? found?.record;
      const facts = {
        begunBy: record && `${record.server} at ${record.host}`,
        registeredVersions: [...known.registered].join(),
        recordedVersions: [...known.recorded].join(),
        listAgeMs: listAge.getAgeMs(),
        isStoreRead: found !== undefined,
      };
      if (record?.version === UNKNOWN_VERSION) return { source: VersionSource.none, ...facts };
      if (record !== undefined) {
        const source = own === undefined ? VersionSource.record : VersionSource.host;
        return { version: record.version, source, ...facts };
      }
      const version = findSole(known, found !== undefined);
      const source = version === undefined ? VersionSource.none : VersionSource.sole;
      return { version, source, ...facts };
    },
    close: () => {
      view.close();
      writer.close();
    },
  };
}
