/**
 * Running of one entry VM by its settings, until a signal.
 */
import { Registry } from 'prom-client';
import EtcdStore from '@burdockcove/store/EtcdStore';
import HttpSdVmList from '@burdockcove/store/HttpSdVmList';
import Logger from '@burdockcove/runtime/Logger';
import Random from '@burdockcove/runtime/Random';
import SystemClock from '@burdockcove/runtime/SystemClock';
import holdProcessOpen from '@burdockcove/runtime/holdProcessOpen';
import type Settings from '@burdockcove/types/Settings';
import EntryVmProcess from './EntryVmProcess.js';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** The first signal stops with nothing cut off; the second calls `endNow`. */
export default async function runEntryVm(settings: Settings, endNow: () => void): Promise<void> {
  const release = holdProcessOpen();
  const clock = new SystemClock();
  const logger = new Logger(settings.log.level, settings.log.format);
  const { endpoints, prefix } = settings.store;
  const store = new EtcdStore(clock, endpoints, prefix);
  const entryVm = new EntryVmProcess({
    settings,
    store,
    vmList: new HttpSdVmList(clock, settings.vmList.url),
    clock,
    random: new Random(settings.seed),
    logger,
    registry: new Registry(),
  });
  let signals = 0;
  const onSignal = (): void => {
    signals += 1;
    if (signals > 1) {
      logger.warn('second signal: ending at once', { step: 'stop' });
      endNow();
      return;
    }
    entryVm.stopGracefully().catch((error: unknown) => {
      logger.error('planned stop failed', { step: 'stop', error: String(error) });
      entryVm.stopNow();
    });
  };
  STOP_SIGNALS.forEach((signal) => process.on(signal, onSignal));
  const { ip, callerPort } = settings;
  logger.info('entry VM starts', { step: 'start', peer: `${ip}:${callerPort}` });
  await entryVm.run();
  await store.close();
  release();
}
