#include "runtime/metrics.h"

#include <doctest/doctest.h>

#include <thread>
#include <vector>

using namespace oleandergate;

TEST_CASE("Latency histograms are rendered in cumulative Prometheus buckets")
{
    Metrics metrics;
    LatencyHistogram &seconds = metrics.histogram("test_seconds");
    seconds.observe(std::chrono::microseconds(1));
    seconds.observe(std::chrono::milliseconds(1)); // Bounds are inclusive.
    seconds.observe(std::chrono::milliseconds(1301));
    seconds.observe(std::chrono::minutes(2));
    const std::string text = metrics.render();
    CHECK(text.find("# TYPE test_seconds histogram\n") != std::string::npos);
    CHECK(text.find("test_seconds_bucket{le=\"0.001\"} 2\n") != std::string::npos);
    CHECK(text.find("test_seconds_bucket{le=\"1.3\"} 2\n") != std::string::npos);
    CHECK(text.find("test_seconds_bucket{le=\"2.5\"} 3\n") != std::string::npos);
    CHECK(text.find("test_seconds_bucket{le=\"60\"} 3\n") != std::string::npos);
    CHECK(text.find("test_seconds_bucket{le=\"+Inf\"} 4\n") != std::string::npos);
    CHECK(text.find("test_seconds_count 4\n") != std::string::npos);
    CHECK(text.find("test_seconds_sum 121.302\n") != std::string::npos);
}

TEST_CASE("A counter counts increments from all threads through one reference")
{
    constexpr int threadCount = 4;
    constexpr int perThread = 10000;
    Metrics metrics;
    Counter &counter = metrics.counter("test_total", "kind=\"a\"");
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int index = 0; index < threadCount; ++index) {
        threads.emplace_back([&counter]() {
            for (int number = 0; number < perThread; ++number) {
                counter.add();
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    metrics.count("test_total", "kind=\"a\"");
    metrics.counter("unused_total");
    CHECK(counter.value() == threadCount * perThread + 1);
    CHECK(metrics.render().find("test_total{kind=\"a\"} 40001\n") != std::string::npos);
    CHECK(metrics.renderBrief() == "test_total{kind=\"a\"}=40001 ");
}
