import type { RecordedVersion, ServiceVersion, VersionKeyPlan } from '../types.js';

function isSame(one: ServiceVersion, other: ServiceVersion): boolean {
  return one.service === other.service && one.version === other.version;
}

/** Plans which versions of the registered servers are written to the store, and which ones are retired there. */
export function planVersionKeys(
  registered: readonly ServiceVersion[],
  recorded: readonly RecordedVersion[],
): VersionKeyPlan {
  const inService = recorded.filter(({ isRetired, isOutdated }) => !isRetired && !isOutdated);
  const retire = recorded.filter(
    (known) =>
      (!known.isRetired || known.isOutdated) &&
      !registered.some((version) => isSame(known, version)),
  );
  return {
    write: registered.filter((version) => !inService.some((known) => isSame(known, version))),
    retire: retire.map(({ service, version }) => ({ service, version })),
  };
}
