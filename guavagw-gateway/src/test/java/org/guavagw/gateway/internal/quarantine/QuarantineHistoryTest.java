package org.guavagw.gateway.internal.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.peers.PromptNotices;
import org.guavagw.gateway.spi.PromptPart;

/**
 * Histories of entries whose requests end the backend servers that begin to answer them, while
 * other servers end for other reasons, entries restart and notices are lost or late.
 */
class QuarantineHistoryTest {
  private static final Duration STEP = Duration.ofMillis(20);
  private static final Duration LENGTH = Duration.ofSeconds(45);
  private static final Duration FIRST_BAD = Duration.ofSeconds(8);
  private static final Duration CONTACT_TIME = Duration.ofSeconds(3);
  private static final Duration RESTART_TIME = Duration.ofSeconds(4);
  private static final int NOTICE_STEPS = 10;
  private static final int MAX_NOTICE_DELAY_STEPS = 15;
  private static final int MAX_ATTEMPTS = 3;
  private static final int MAX_SERVERS_ENDED = 2;
  private static final int DECISIVE_CRASHES = 5;
  private static final int MAX_SENT_AFTERWARDS = 3;
  private static final int SUBJECTS = 12;
  private static final int SOUND_PER_SECOND = 40;

  private final ManualClock clock = new ManualClock();
  private final List<Entry> entries = new ArrayList<>();
  private final List<Server> servers = new ArrayList<>();
  private final List<Delivery> onTheWay = new ArrayList<>();
  private Random random;
  private int serial;
  private int crashes;
  private long decisiveNanos;
  private int badSentAfterwards;
  private int soundAfterwards;
  private int soundHeldAfterwards;

  @Property(tries = 150)
  void shouldHoldTheHarmfulPartAndLittleElse(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 12) int entryCount,
      @ForAll @IntRange(min = 6, max = 16) int serverCount,
      @ForAll @IntRange(min = 1, max = 4) int badPerSecond) {
    reset(seed, entryCount, serverCount);
    int steps = (int) (LENGTH.toMillis() / STEP.toMillis());
    int firstBad = (int) (FIRST_BAD.toMillis() / STEP.toMillis());
    for (int step = 0; step < steps; step++) {
      clock.advance(STEP);
      deliverNotices(step);
      if (chance(SOUND_PER_SECOND)) {
        anyEntry().send(soundPrompt(), false);
      }
      if (step > firstBad && chance(badPerSecond)) {
        anyEntry().send(badPrompt(), true);
      }
      if (random.nextInt(steps) == 0) {
        servers.get(random.nextInt(servers.size())).end();
      }
      if (random.nextInt(steps) == 0) {
        int restarted = random.nextInt(entries.size());
        entries.set(restarted, new Entry(restarted));
      }
      List.copyOf(servers).forEach(Server::work);
      if (step % NOTICE_STEPS == 0) {
        tellNotices(step);
        entries.forEach(Entry::cancelHeld);
      }
    }
    assertThat(badSentAfterwards).isLessThanOrEqualTo(MAX_SENT_AFTERWARDS);
    assertThat(soundHeldAfterwards).isLessThanOrEqualTo(soundAfterwards / 10);
  }

  private void reset(long seed, int entryCount, int serverCount) {
    // the properties of a class share one instance for all their tries
    random = new Random(seed);
    entries.clear();
    servers.clear();
    onTheWay.clear();
    crashes = 0;
    decisiveNanos = Long.MAX_VALUE;
    badSentAfterwards = 0;
    soundAfterwards = 0;
    soundHeldAfterwards = 0;
    for (int i = 0; i < entryCount; i++) {
      entries.add(new Entry(i));
    }
    for (int i = 0; i < serverCount; i++) {
      servers.add(new Server());
    }
  }

  private boolean chance(int perSecond) {
    return random.nextDouble() < perSecond * STEP.toMillis() / 1000.0;
  }

  private Entry anyEntry() {
    return entries.get(random.nextInt(entries.size()));
  }

  private List<PromptPart> soundPrompt() {
    return List.of(part("shared"), part("subject" + random.nextInt(SUBJECTS)), ownPart());
  }

  private List<PromptPart> badPrompt() {
    PromptPart subject = part("subject" + random.nextInt(SUBJECTS));
    return random.nextBoolean()
        ? List.of(part("shared"), part("bad"), subject, ownPart())
        : List.of(part("shared"), subject, part("bad"), ownPart());
  }

  private PromptPart ownPart() {
    return part("own" + ++serial);
  }

  private static PromptPart part(String id) {
    return new PromptPart(id, 100);
  }

  private boolean isAfter(Duration sinceDecisive) {
    return crashes >= DECISIVE_CRASHES && clock.read() - decisiveNanos > sinceDecisive.toNanos();
  }

  private void tellNotices(int step) {
    for (Entry from : entries) {
      PromptNotices notices = from.quarantine.toTell(clock.read());
      for (Entry to : entries) {
        if (to != from && random.nextInt(20) > 0) {
          int delay = 1 + random.nextInt(MAX_NOTICE_DELAY_STEPS);
          onTheWay.add(new Delivery(step + delay, to, notices));
        }
      }
    }
  }

  private void deliverNotices(int step) {
    List<Delivery> due = onTheWay.stream().filter(d -> d.step() <= step).toList();
    onTheWay.removeAll(due);
    due.forEach(d -> d.to().quarantine.onNotices(d.notices(), clock.read()));
  }

  /** Notices that arrive in a later step. */
  private record Delivery(int step, Entry to, PromptNotices notices) {}

  /** A request with its attempts. */
  private static final class Request {
    private final Entry entry;
    private final List<PromptPart> prompt;
    private final boolean bad;
    private int attempts;
    private int serversEnded;
    private boolean test;
    private long beginNanos;

    Request(Entry entry, List<PromptPart> prompt, boolean bad) {
      this.entry = entry;
      this.prompt = prompt;
      this.bad = bad;
    }
  }

  /** A backend server that ends when it begins to answer a harmful request. */
  private final class Server {
    private String incarnation = "s" + ++serial;
    private List<Request> waiting = new ArrayList<>();
    private long backNanos;

    private boolean isUp() {
      return clock.read() - backNanos >= 0;
    }

    private void work() {
      for (Request request : List.copyOf(waiting)) {
        if (waiting.contains(request) && clock.read() - request.beginNanos >= 0) {
          begin(request);
        }
      }
    }

    private void begin(Request request) {
      if (!request.bad) {
        waiting.remove(request);
        request.entry.quarantine.onAnswered(request.prompt, clock.read());
        return;
      }
      crashes++;
      if (crashes == DECISIVE_CRASHES) {
        decisiveNanos = clock.read();
      }
      end();
    }

    private void end() {
      List<Request> lost = waiting;
      String ended = incarnation;
      waiting = new ArrayList<>();
      incarnation = "s" + ++serial;
      backNanos = clock.read() + RESTART_TIME.toNanos();
      lost.forEach(r -> r.entry.onLost(r, ended));
    }
  }

  /** An entry that sends requests to any server that is up. */
  private final class Entry {
    private final PromptQuarantine quarantine;
    private final long startedNanos = clock.read();

    Entry(int rank) {
      this.quarantine =
          new PromptQuarantine(
              () -> rank,
              new QuarantineListener() {
                @Override
                public void onHeld(String part, Duration untilTest) {
                  // not needed
                }

                @Override
                public void onReleased(String part) {
                  // not needed
                }
              });
    }

    private void send(List<PromptPart> prompt, boolean bad) {
      boolean counts = !bad && isAfter(CONTACT_TIME.multipliedBy(2));
      soundAfterwards += counts ? 1 : 0;
      boolean held = !dispatch(new Request(this, prompt, bad));
      soundHeldAfterwards += counts && held ? 1 : 0;
    }

    /** Sends a request and returns whether it was not held. */
    private boolean dispatch(Request request) {
      long now = clock.read();
      if (quarantine.holds(request.prompt, now)) {
        return false;
      }
      List<Server> up = servers.stream().filter(Server::isUp).toList();
      if (up.isEmpty() || request.attempts >= MAX_ATTEMPTS) {
        return true;
      }
      request.attempts++;
      request.test = quarantine.onSent(request.prompt, now);
      request.beginNanos = now + Duration.ofMillis(30 + random.nextInt(300)).toNanos();
      up.get(random.nextInt(up.size())).waiting.add(request);
      boolean inTouch = now - startedNanos > CONTACT_TIME.toNanos();
      badSentAfterwards += request.bad && inTouch && isAfter(CONTACT_TIME) ? 1 : 0;
      return true;
    }

    private void onLost(Request request, String incarnation) {
      if (quarantine.isUnproven(request.prompt, clock.read())) {
        quarantine.onServerEnded(incarnation, request.prompt, clock.read());
        request.serversEnded++;
      }
      if (request.serversEnded < MAX_SERVERS_ENDED) {
        dispatch(request);
      }
    }

    private void cancelHeld() {
      servers.forEach(
          s ->
              s.waiting.removeIf(
                  r -> r.entry == this && !r.test && quarantine.holds(r.prompt, clock.read())));
    }
  }
}
