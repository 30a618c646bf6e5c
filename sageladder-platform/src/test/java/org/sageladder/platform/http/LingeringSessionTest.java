package org.sageladder.platform.http;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

import java.lang.reflect.Proxy;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import org.apache.hc.core5.reactor.IOSession;
import org.junit.jupiter.api.Test;

class LingeringSessionTest {
  /** A response to a connection that the reactor had ended threw into the sender's thread. */
  @Test
  void eventsOfAnEndedConnectionAreIgnored() {
    IOSession ended =
        (IOSession)
            Proxy.newProxyInstance(
                IOSession.class.getClassLoader(),
                new Class<?>[] {IOSession.class},
                (proxy, method, arguments) -> {
                  throw new CancelledKeyException();
                });
    IOSession lingering = LingeringSession.decorator(1).decorate(ended);
    assertDoesNotThrow(() -> lingering.setEvent(SelectionKey.OP_WRITE));
    assertDoesNotThrow(() -> lingering.setEventMask(SelectionKey.OP_READ));
    assertDoesNotThrow(() -> lingering.clearEvent(SelectionKey.OP_WRITE));
  }
}
