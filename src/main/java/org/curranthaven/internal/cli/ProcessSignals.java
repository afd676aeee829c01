package org.curranthaven.internal.cli;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;
import org.tinylog.Logger;

/**
 * Registers handlers of SIGTERM, SIGINT and SIGHUP. A shutdown hook cannot distinguish a second
 * signal from the first, so this class uses the JDK's internal signal class, by reflection.
 * Handlers run on a new thread for each signal.
 */
final class ProcessSignals {
  private ProcessSignals() {}

  /** Registers an action for SIGTERM and SIGINT; it receives the number of signals so far. */
  static void onTermination(IntConsumer action) {
    AtomicInteger count = new AtomicInteger();
    for (String name : new String[] {"TERM", "INT"}) {
      try {
        register(name, () -> action.accept(count.incrementAndGet()));
      } catch (ReflectiveOperationException e) {
        Logger.warn("cannot install a handler for signal {}: {}", name, e.getMessage());
      }
    }
  }

  /** Registers an action for SIGHUP, which would otherwise end the process. */
  static void onReload(Runnable action) {
    try {
      register("HUP", action);
    } catch (ReflectiveOperationException e) {
      Logger.warn("cannot install a handler for signal HUP: {}", e.getMessage());
    }
  }

  private static void register(String name, Runnable action)
      throws ClassNotFoundException,
          NoSuchMethodException,
          IllegalAccessException,
          InvocationTargetException,
          InstantiationException {
    Class<?> signalClass = Class.forName("sun.misc.Signal");
    Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
    Object signal = signalClass.getConstructor(String.class).newInstance(name);
    Object handler =
        Proxy.newProxyInstance(
            ProcessSignals.class.getClassLoader(),
            new Class<?>[] {handlerClass},
            (proxy, method, arguments) -> {
              Thread.ofPlatform().daemon(true).start(action);
              return null;
            });
    signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
  }
}
