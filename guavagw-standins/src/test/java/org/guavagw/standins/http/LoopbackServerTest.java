package org.guavagw.standins.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.jooby.ExecutionMode;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;

class LoopbackServerTest {
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  @Test
  void shouldReserveItsPortWhileItIsStopped() throws Exception {
    try (LoopbackServer server =
        new LoopbackServer(ExecutionMode.EVENT_LOOP, 1, app -> app.get("/", ctx -> ""))) {
      server.stop();
      assertThatThrownBy(() -> new ServerSocket(server.port(), 1, LOOPBACK).close())
          .isInstanceOf(BindException.class);
      assertThatThrownBy(() -> new Socket(LOOPBACK, server.port()).close())
          .isInstanceOf(ConnectException.class);

      server.start();
      try (Socket connection = new Socket(LOOPBACK, server.port())) {
        assertThat(connection.isConnected()).isTrue();
      }
    }
  }

  @RepeatedTest(50)
  void shouldRefuseConnectionsOnceItHasStopped() {
    try (LoopbackServer server =
        new LoopbackServer(ExecutionMode.EVENT_LOOP, 1, app -> app.get("/", ctx -> ""))) {
      server.stop();
      assertThatThrownBy(() -> new Socket(LOOPBACK, server.port()).close())
          .isInstanceOf(ConnectException.class);
    }
  }
}
