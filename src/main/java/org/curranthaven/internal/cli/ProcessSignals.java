package org.curranthaven.internal.cli;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;
import org.tinylog.Logger;

/**
 * Calls back on SIGTERM and SIGINT. The JDK's signal class is reached by reflection, since a
 * shutdown hook cannot tell a second signal from the first.
 */
final class ProcessSignals {
  private ProcessSignals() {}

  /** Registers an action, which is given the number of signals so far. */
  static void onTermination(IntConsumer action) {
    AtomicInteger count = new AtomicInteger();
    for (String name : new String[] {"TERM", "INT"}) {
      try {
        register(name, () -> action.accept(count.incrementAndGet()));
      } catch (ReflectiveOperationException e) {
        Logger.warn("signal {} cannot be handled: {}", name, e.getMessage());
      }
    }
  }

  /** Registers an action for SIGHUP, which would end the process otherwise. */
  static void onReload(Runnable action) {
    try {
      register("HUP", action);
    } catch (ReflectiveOperationException e) {
      Logger.warn("signal HUP cannot be handled: {}", e.getMessage());
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
