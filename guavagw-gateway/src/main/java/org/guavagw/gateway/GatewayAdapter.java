package org.guavagw.gateway;

import java.util.concurrent.ScheduledExecutorService;
import org.guavagw.gateway.internal.metrics.GatewayMetrics;
import org.guavagw.gateway.internal.relay.Transport;
import org.guavagw.gateway.spi.ControlFormat;
import org.guavagw.gateway.spi.ControlStore;
import org.guavagw.gateway.spi.RelayFormat;

/** Connects the gateway to a platform. */
public interface GatewayAdapter {
  /** Opens the control store; its futures complete on the control thread. */
  ControlStore openStore(
      Transport transport, ScheduledExecutorService control, GatewayMetrics metrics);

  /** Returns the format of the rows in the store. */
  ControlFormat controlFormat();

  /** Returns the format of the heads of requests and answers. */
  RelayFormat relayFormat();
}
