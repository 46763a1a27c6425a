/**
 * A configuration of the operator as the protocol page shows it: a safe and an unsafe route to one service.
 */
export const SERVICE = 'huvo11a';

function buildRoute(name, pathPrefix, kind) {
  return {
    name,
    host: 'ficu95.example',
    pathPrefix,
    kind,
    timeoutS: 2.5,
    targetLatencyS: 0.8,
    priority: 1,
    service: SERVICE,
    maxAttempts: 2,
    sticky: true,
    allowedRegions: [],
  };
}

/** `moreRoutes` adds routes to the two that requests use. */
export default function buildConfiguration(version, moreRoutes = 0) {
  const added = Array.from({ length: moreRoutes }, (_, index) =>
    buildRoute(`r-added-${index}`, `/added${index}/`, 'idempotent'),
  );
  return {
    version: version.toString(16).padStart(8, '0'),
    routes: [
      buildRoute('r-safe', '/lohu930/', 'idempotent'),
      buildRoute('r-unsafe', '/pufi791/', 'non_idempotent'),
      ...added,
    ],
    services: [
      {
        name: SERVICE,
        healthPath: '/health',
        maxConns: 330,
        protocol: 'h1',
        tls: false,
        coldStartS: 3,
        coldPerS: 2.1,
      },
    ],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 67108864,
      headerTimeoutS: 3,
      idleTimeoutS: 15,
    },
  };
}
