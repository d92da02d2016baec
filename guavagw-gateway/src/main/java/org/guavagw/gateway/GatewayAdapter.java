package org.guavagw.gateway;

import java.util.concurrent.ScheduledExecutorService;
import org.guavagw.gateway.internal.metrics.GatewayMetrics;
import org.guavagw.gateway.internal.relay.Transport;
import org.guavagw.gateway.spi.ControlFormat;
import org.guavagw.gateway.spi.ControlStore;
import org.guavagw.gateway.spi.RelayFormat;

/** What a platform brings along. */
public interface GatewayAdapter {
  /** Opens the store; its futures complete on the control thread. */
  ControlStore openStore(
      Transport transport, ScheduledExecutorService control, GatewayMetrics metrics);

  /** Meaning of the rows in the store. */
  ControlFormat controlFormat();

  /** Meaning of the heads of requests and answers. */
  RelayFormat relayFormat();
}
