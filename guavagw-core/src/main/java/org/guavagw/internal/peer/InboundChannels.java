package org.guavagw.internal.peer;

import com.google.common.collect.HashMultimap;
import com.google.common.collect.Multimaps;
import com.google.common.collect.SetMultimap;
import io.netty.channel.Channel;
import java.util.List;

/** The accepted connections, by member id. Thread-safe. */
final class InboundChannels {
  private final SetMultimap<String, Channel> channels =
      Multimaps.synchronizedSetMultimap(HashMultimap.create());

  void add(String memberId, Channel channel) {
    channels.put(memberId, channel);
    ChannelActions.onClose(channel, c -> channels.remove(memberId, c));
  }

  void close(String memberId) {
    List.copyOf(channels.removeAll(memberId)).forEach(ChannelActions::close);
  }

  void closeAll() {
    synchronized (channels) {
      List.copyOf(channels.values()).forEach(ChannelActions::close);
    }
  }
}
