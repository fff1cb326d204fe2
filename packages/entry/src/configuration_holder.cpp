#include <agatebank/core/configuration_document.hpp>
#include <agatebank/entry/configuration_holder.hpp>

#include <utility>

namespace agatebank
{

configuration_holder::configuration_holder(event_loop& loop, event_ring& events,
                                           log_sink log,
                                           configuration_loader loader,
                                           duration poll_period)
    : loop_(loop)
    , events_(events)
    , log_(std::move(log))
    , loader_(std::move(loader))
    , poll_period_(poll_period)
    , view_(std::make_shared<const configuration_view>(
          std::make_shared<const configuration>()))
{
}

void configuration_holder::on_change(change_handler handler)
{
    handlers_.push_back(std::move(handler));
}

void configuration_holder::start()
{
    timer_ = loop_.every(poll_period_, [this] { poll(); });
    poll();
}

void configuration_holder::apply_if_newer(
    std::shared_ptr<const configuration> c)
{
    known_ = true;
    if (c->version <= version())
    {
        return;
    }
    view_ = std::make_shared<const configuration_view>(std::move(c));
    event e;
    e.kind = event_kind::configuration_in_force;
    e.detail = "version " + std::to_string(version().value());
    events_.record(std::move(e));
    for (const auto& it : handlers_)
    {
        it();
    }
}

void configuration_holder::apply_text_if_newer(const std::string& text,
                                               const std::string& peer)
{
    auto c = parse_configuration(text, peer);
    if (!c)
    {
        log_(to_record(log_level::warning, c.error()));
        return;
    }
    apply_if_newer(std::make_shared<const configuration>(std::move(*c)));
}

void configuration_holder::refresh()
{
    poll();
}

void configuration_holder::poll()
{
    if (loading_)
    {
        return;
    }
    loading_ = true;
    loader_(
        [this](result<std::shared_ptr<const configuration>> c)
        {
            loading_ = false;
            if (!c)
            {
                if (!std::exchange(failing_, true))
                {
                    log_(to_record(log_level::warning, c.error()));
                }
                return;
            }
            failing_ = false;
            known_ = true;
            if (*c)
            {
                apply_if_newer(std::move(*c));
            }
        });
}

const configuration_view& configuration_holder::view() const noexcept
{
    return *view_;
}

std::shared_ptr<const configuration_view>
configuration_holder::shared_view() const
{
    return known_ ? view_ : nullptr;
}

config_version configuration_holder::version() const noexcept
{
    return view_->version();
}

bool configuration_holder::known() const noexcept
{
    return known_;
}

} // namespace agatebank
