#include "Wire/MessageFrames.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <google/protobuf/io/zero_copy_stream_impl.h>
#include <memory>

namespace robinrun {
namespace {

    using Buffer = std::shared_ptr<std::uint8_t[]>;

    /// \returns a frame of \a n bytes from \a at on; it keeps \a buf alive. ZeroMQ's own thread may free it.
    zmq::message_t frameOf(const Buffer& buf, std::size_t at, std::size_t n)
    {
        auto held = std::make_unique<Buffer>(buf);
        zmq::message_t out(
            buf.get() + at, n,
            [](void*, void* hint) { const std::unique_ptr<Buffer> last(static_cast<Buffer*>(hint)); },
            held.get());
        held.release(); // NOLINT(bugprone-unused-return-value): the frame owns it now
        return out;
    }

} // namespace

std::vector<zmq::message_t> framesOf(const proto::PeerMessage& message)
{
    std::vector<zmq::message_t> frames;
    const auto n = message.ByteSizeLong();
    if (n <= frameBytes) {
        auto& only = frames.emplace_back(n);
        message.SerializeWithCachedSizesToArray(only.data<std::uint8_t>());
        return frames;
    }
    const auto buf = std::make_shared_for_overwrite<std::uint8_t[]>(n);
    message.SerializeWithCachedSizesToArray(buf.get());
    frames.reserve((n + frameBytes - 1) / frameBytes);
    for (std::size_t at = 0; at < n; at += frameBytes)
        frames.push_back(frameOf(buf, at, std::min(frameBytes, n - at)));
    return frames;
}

std::size_t bytesOf(const std::vector<zmq::message_t>& frames)
{
    std::size_t n = 0;
    for (const auto& it : frames)
        n += it.size();
    return n;
}

bool parseFrames(const std::vector<zmq::message_t>& frames, proto::PeerMessage& out)
{
    if (frames.size() == 1)
        return out.ParseFromArray(frames[0].data(), static_cast<int>(frames[0].size()));
    using namespace google::protobuf::io;
    std::deque<ArrayInputStream> parts; // which can't be moved
    std::vector<ZeroCopyInputStream*> inOrder;
    inOrder.reserve(frames.size());
    for (const auto& it : frames)
        inOrder.push_back(&parts.emplace_back(it.data(), static_cast<int>(it.size())));
    ConcatenatingInputStream all(inOrder.data(), static_cast<int>(inOrder.size()));
    return out.ParseFromZeroCopyStream(&all);
}

} // namespace robinrun
