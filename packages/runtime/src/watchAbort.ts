/**
 * Listeners on abort signals that many listeners come to and leave again.
 *
 * `removeEventListener` searches all listeners of a signal, and each event listener is an object of its own. A signal that
 * lives as long as the process or a connection gets one event listener here, and a set that costs the same at any size.
 */

type Listener = () => void;

const listenersBySignal = new WeakMap<AbortSignal, Set<Listener>>();

/** As for events, an error of one listener is uncaught and does not keep the others from being called. */
function callListener(listener: Listener): void {
  try {
    listener();
  } catch (error) {
    process.nextTick(() => {
      throw error;
    });
  }
}

function addSet(signal: AbortSignal): Set<Listener> {
  const listeners = new Set<Listener>();
  listenersBySignal.set(signal, listeners);
  const callAll = (): void => {
    listeners.forEach(callListener);
    listeners.clear();
  };
  signal.addEventListener('abort', callAll, { once: true });
  return listeners;
}

/**
 * Calls the listener once the signal is aborted, at most once; never if it is aborted already. Returns a function that
 * ends that.
 */
export default function watchAbort(signal: AbortSignal, listener: Listener): () => void {
  const listeners = listenersBySignal.get(signal) ?? addSet(signal);
  listeners.add(listener);
  return () => listeners.delete(listener);
}
