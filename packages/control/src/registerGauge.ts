/**
 * Gauges that are read when metrics are collected.
 */
import { Gauge, type Registry } from 'prom-client';

/** Registers a gauge whose value is the function's. */
export default function registerGauge(
  registry: Registry,
  name: string,
  help: string,
  getValue: () => number,
): void {
  const gauge: Gauge = new Gauge({
    name,
    help,
    registers: [registry],
    collect: (): void => gauge.set(getValue()),
  });
}
