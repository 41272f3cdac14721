// Writes the example bundles, which have the sizes of the two deployments; run it again after a change to this file.
import { writeFileSync } from 'node:fs';
import { createHash } from 'node:crypto';
import { stringify } from 'yaml';

const GIGABYTE = 1_000_000_000;
const hash = (text) => createHash('sha256').update(text).digest('hex');

function buildOrganisations(names, models) {
  const rates = [60_000, 40_000, 8_000, 4_000, 2_000];
  return names.map((name, index) => ({
    name,
    rate: rates[index],
    burst: rates[index] * 4,
    // The keys of the examples are public: create your own with "bronzelanding create-key".
    keys: [hash(`example-key-${name}`)],
    ...(index === names.length - 1 ? { models: models.slice(0, 4) } : {}),
  }));
}

function buildModels(groups) {
  return groups.flatMap(({ service, prefix, count, bytes }) =>
    Array.from({ length: count }, (_unused, index) => ({
      name: `${prefix}-${String(index + 1).padStart(2, '0')}`,
      version: 'v1',
      service,
      bytes: bytes[index % bytes.length] * GIGABYTE,
      replicas: index % 5 === 0 ? 2 : 1,
      class: ['interactive', 'standard', 'batch'][index % 3],
    })),
  );
}

function buildAdapters(models, count) {
  return Array.from({ length: count }, (_unused, index) => ({
    name: `adapter-${String(index + 1).padStart(3, '0')}`,
    version: 'v1',
    model: models[index % models.length].name,
    bytes: GIGABYTE / 5,
  }));
}

function writeBundle(
  file,
  { title, groups, adapters, plainServices, routes, organisations, limits },
) {
  const models = buildModels(groups);
  const bundle = {
    version: 1,
    services: groups.map(({ service, engines, memory, window }) => ({
      name: service,
      engines,
      memoryBytes: memory * GIGABYTE,
      window,
    })),
    models,
    adapters: buildAdapters(models, adapters),
    plainServices,
    routes,
    organisations: buildOrganisations(
      organisations,
      models.map(({ name }) => name),
    ),
    limits,
  };
  writeFileSync(file, `# ${title}\n${stringify(bundle, { lineWidth: 0 })}`);
}

writeBundle('examples/dryline.yaml', {
  title: 'Dryline, Lagos: 13 + 4 engines, 21 models, 115 adapters.',
  groups: [
    {
      service: 'moisture',
      prefix: 'moisture',
      count: 16,
      engines: 13,
      memory: 80,
      window: 16,
      bytes: [14, 20, 26],
    },
    {
      service: 'certificate',
      prefix: 'certificate',
      count: 5,
      engines: 4,
      memory: 80,
      window: 16,
      bytes: [14, 16],
    },
  ],
  adapters: 115,
  plainServices: ['certificates'],
  routes: [
    {
      method: 'POST',
      path: '/certificates',
      service: 'certificates',
      idempotent: false,
      class: 'standard',
      tokens: 10,
    },
    {
      method: 'GET',
      path: '/certificates/*',
      service: 'certificates',
      idempotent: true,
      class: 'interactive',
      tokens: 1,
    },
    {
      method: 'POST',
      path: '/load-checks',
      service: 'certificates',
      idempotent: true,
      class: 'interactive',
      tokens: 1,
    },
    {
      method: 'GET',
      path: '/depots',
      service: 'certificates',
      idempotent: true,
      open: true,
      tokens: 0,
    },
  ],
  organisations: ['depots-north', 'depots-south', 'gate-buyers', 'inspectors', 'auditors'],
  limits: { loadsPerSecond: 2, loadsAtOnce: 3, adaptersInFlight: 24 },
});

writeBundle('examples/lijado.yaml', {
  title: 'Lijado, Quito: 13 + 4 engines, 31 models, 95 adapters.',
  groups: [
    {
      service: 'plans',
      prefix: 'plan',
      count: 24,
      engines: 13,
      memory: 80,
      window: 16,
      bytes: [10, 14, 18],
    },
    {
      service: 'booking',
      prefix: 'booking',
      count: 7,
      engines: 4,
      memory: 80,
      window: 16,
      bytes: [10, 12],
    },
  ],
  adapters: 95,
  plainServices: ['bookings'],
  routes: [
    {
      method: 'POST',
      path: '/bookings',
      service: 'bookings',
      idempotent: false,
      class: 'interactive',
      tokens: 10,
    },
    {
      method: 'GET',
      path: '/bookings/*',
      service: 'bookings',
      idempotent: true,
      class: 'interactive',
      tokens: 1,
    },
    {
      method: 'GET',
      path: '/visits',
      service: 'bookings',
      idempotent: true,
      class: 'standard',
      tokens: 1,
    },
    {
      method: 'GET',
      path: '/opening-hours',
      service: 'bookings',
      idempotent: true,
      open: true,
      tokens: 0,
    },
  ],
  organisations: ['quito-centre', 'quito-valley', 'cumbaya', 'sangolqui', 'crews'],
  limits: { loadsPerSecond: 2, loadsAtOnce: 8, adaptersInFlight: 64 },
});
